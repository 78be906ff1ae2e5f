package wire

import (
	"slices"

	"chervilreach/core/origin"
	"chervilreach/io/wire/wirepb"
)

// EncodeOrigins returns the message for the origins of a service's streams.
func EncodeOrigins(service string, list []origin.Origin) *wirepb.StreamOrigins {
	m := &wirepb.StreamOrigins{Service: service}
	for _, o := range list {
		i := slices.IndexFunc(m.Versions, func(v *wirepb.VersionStreams) bool { return v.GetSoftware() == o.Software })
		if i < 0 {
			i = len(m.Versions)
			m.Versions = append(m.Versions, &wirepb.VersionStreams{Software: o.Software})
		}
		m.Versions[i].Streams = append(m.Versions[i].Streams, uint64(o.Stream))
	}
	return m
}

// EncodeVersions returns the message for the versions of a service's software, without streams.
func EncodeVersions(service string, versions []string) *wirepb.StreamOrigins {
	m := &wirepb.StreamOrigins{Service: service}
	for _, v := range versions {
		m.Versions = append(m.Versions, &wirepb.VersionStreams{Software: v})
	}
	return m
}

// DecodeVersions returns the versions in a message, with and without streams.
func DecodeVersions(m *wirepb.StreamOrigins) []string {
	var versions []string
	for _, v := range m.GetVersions() {
		versions = append(versions, v.GetSoftware())
	}
	return versions
}

// DecodeOrigins returns the origins in a message. Their order is kept within each version only.
func DecodeOrigins(m *wirepb.StreamOrigins) []origin.Origin {
	var list []origin.Origin
	for _, v := range m.GetVersions() {
		for _, stream := range v.GetStreams() {
			list = append(list, origin.Origin{Stream: origin.Stream(stream), Software: v.GetSoftware()})
		}
	}
	return list
}
