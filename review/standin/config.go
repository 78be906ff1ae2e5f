package main

import "encoding/json"

// routeSpec is a route of a configuration.
type routeSpec struct {
	prefix, kind, service string
	resumable             bool
	timeoutMs, aimMs      int
	attempts              int
}

// serviceSpec is a service of a configuration. models is nil if it has no engine.
type serviceSpec struct {
	name   string
	models []string
}

// configOf returns a configuration in the platform's form.
func configOf(version int, routes []routeSpec, services []serviceSpec) []byte {
	routeList, serviceList := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		m := map[string]any{
			"name": "r" + r.prefix, "host": clientHost, "prefix": r.prefix, "routeKind": r.kind, "timeoutMs": r.timeoutMs,
			"targetLatencyMs": r.aimMs, "priority": 2, "service": r.service, "maxAttempts": r.attempts,
		}
		if r.kind == "stream" {
			m["canResume"], m["gapAimMs"], m["affinity"] = r.resumable, 300, true
		}
		routeList = append(routeList, m)
	}
	for _, s := range services {
		m := map[string]any{"name": s.name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}
		if s.models != nil {
			models := []map[string]any{}
			for _, name := range s.models {
				models = append(models, map[string]any{
					"name": name, "weightsMb": 70000.0, "loadS": loadTime.Seconds(), "adapters": 0, "adapterMb": 12.0, "warmS": 1.1, "diskS": 2.0,
				})
			}
			m["engine"] = map[string]any{
				"slots": 64, "kvCapacity": 133007, "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 2.1, "models": models,
			}
		}
		serviceList = append(serviceList, m)
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routeList, "services": serviceList,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return data
}
