package conns

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHop removes the headers that concern one connection only, those that
// Connection names among them.
func StripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// keepAliveTime returns the time that a Keep-Alive header names.
func keepAliveTime(header string) (time.Duration, bool) {
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
