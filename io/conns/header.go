package conns

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop removes the headers that apply to a single connection, including
// those listed in the Connection header.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, or false if
// there is none or it is malformed.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(value))
		return time.Duration(n) * time.Second, err == nil
	}
	return 0, false
}
