package guard

import (
	"net/http"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// metricReplaced, after Guard.Prefix, is the counter of replaced statuses.
const metricReplaced = "status-replaced"

// keptHeaders are the headers of an answer that remain when its status is replaced, in canonical form. Others
// may belong to the status, such as Retry-After, or say who gave it.
var keptHeaders = []string{"Connection", "Content-Language", "Content-Length", "Content-Type"}

// PromisesNotRun reports whether callers take a status as a promise that the request has not run and never
// will. They then repeat also what must not run twice.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// SetMayHaveRun sets whether the request that w answers may have run. While it may have, a status of its
// answer for which PromisesNotRun is true is replaced by 502, whoever gave it. It does nothing for a writer
// that does not come from a Guard.
func SetMayHaveRun(w http.ResponseWriter, mayHaveRun bool) {
	if sw, ok := w.(*writer); ok {
		sw.mayHaveRun = mayHaveRun
	}
}

// MayHaveRun reports what SetMayHaveRun has set; false if nothing.
func MayHaveRun(w http.ResponseWriter) bool {
	sw, ok := w.(*writer)
	return ok && sw.mayHaveRun
}

// truthful returns the status to write for a status. If it is another one, it drops the headers that may
// belong to the first.
func (w *writer) truthful(status int) int {
	if !w.mayHaveRun || !PromisesNotRun(status) {
		return status
	}
	metrics.GetOrRegisterCounter(w.guard.Prefix+metricReplaced, w.guard.Metrics).Inc(1)
	h := w.Header()
	idHeader := http.CanonicalHeaderKey(w.guard.IDHeader)
	for name := range h {
		if name != idHeader && !slices.Contains(keptHeaders, name) {
			delete(h, name)
		}
	}
	return http.StatusBadGateway
}
