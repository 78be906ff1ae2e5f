package front

import (
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// Request headers of the callers' API.
const (
	headerRequestID      = "X-Request-Id"
	headerRequestKind    = "X-Request-Kind"
	headerPatience       = "X-Patience-Ms"
	headerIdempotencyKey = "Idempotency-Key"
)

// Limits on header values.
const (
	// maxRequestIDBytes is the maximum length of X-Request-Id.
	maxRequestIDBytes = 64
	// maxIdempotencyKeyBytes is the maximum length of Idempotency-Key.
	maxIdempotencyKeyBytes = 255
	// maxPatience is the maximum timeout that a caller may set with X-Patience-Ms.
	maxPatience = 24 * time.Hour
)

// Media types of requests and responses.
const (
	mediaJSON        = "application/json"
	mediaEventStream = "text/event-stream"
)

// bearerKey returns the bearer key of the Authorization header, or "" if there is none.
func bearerKey(h http.Header) string {
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// parseRequestID returns the X-Request-Id header, or "" if there is none.
func parseRequestID(h http.Header) (string, error) {
	values := h.Values(headerRequestID)
	if len(values) == 0 {
		return "", nil
	}
	id := values[0]
	if len(values) > 1 || id == "" || len(id) > maxRequestIDBytes || !allBytes(id, isRequestIDByte) {
		return "", newRefusedError(fleet.CodeBadRequest,
			"header X-Request-Id: want once 1 to 64 letters, digits, or any of - _ .")
	}
	return id, nil
}

// parseIdempotencyKey returns the Idempotency-Key header, or "" if there is none.
func parseIdempotencyKey(h http.Header) (string, error) {
	values := h.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes || !allBytes(key, isVisibleASCII) {
		return "", newRefusedError(fleet.CodeBadRequest,
			"header Idempotency-Key: want once 1 to 255 visible ASCII characters")
	}
	return key, nil
}

// requestDeadline returns the deadline of a request that arrived at the given time. The
// timeout is the patience of the kind of request; X-Patience-Ms can only shorten it.
func requestDeadline(h http.Header, kind record.Kind, arrived time.Time) (time.Time, error) {
	timeout := kind.Patience
	values := h.Values(headerPatience)
	if len(values) == 0 {
		return arrived.Add(timeout), nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || ms <= 0 || ms > maxPatience.Milliseconds() {
		return time.Time{}, newRefusedError(fleet.CodeBadPatience,
			"header X-Patience-Ms: want once a whole number of milliseconds from 1 to "+
				strconv.FormatInt(maxPatience.Milliseconds(), 10))
	}
	return arrived.Add(min(timeout, time.Duration(ms)*time.Millisecond)), nil
}

// resolveKind returns the kind of request named by X-Request-Kind, or the default kind if
// the header is absent.
func (x *index) resolveKind(h http.Header, defaultKind fleet.KindID) (record.Kind, error) {
	id := defaultKind
	if values := h.Values(headerRequestKind); len(values) > 0 {
		id = fleet.KindID(values[0])
	}
	kind, ok := x.config.Kinds[id]
	switch {
	case ok:
		return kind, nil
	case id == "":
		return record.Kind{}, newRefusedError(fleet.CodeUnknownKind,
			"header X-Request-Kind: missing, and there is no default kind")
	default:
		return record.Kind{}, newRefusedError(fleet.CodeUnknownKind, "header X-Request-Kind: no kind "+quote(string(id)))
	}
}

// checkJSON refuses a request whose headers don't declare an uncompressed JSON body.
func checkJSON(h http.Header) error {
	media, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil || media != mediaJSON {
		return newRefusedError(fleet.CodeUnsupportedMedia, "header Content-Type: want "+mediaJSON)
	}
	return checkEncoding(h)
}

// checkEncoding refuses a request whose body is declared as compressed.
func checkEncoding(h http.Header) error {
	if encoding := h.Get("Content-Encoding"); encoding != "" && !strings.EqualFold(encoding, "identity") {
		return newRefusedError(fleet.CodeUnsupportedMedia, "header Content-Encoding: want identity")
	}
	return nil
}

// acceptsEventStream reports whether the Accept header contains text/event-stream.
func acceptsEventStream(h http.Header) bool {
	return strings.Contains(h.Get("Accept"), mediaEventStream)
}

// allBytes reports whether allowed returns true for every byte of text.
func allBytes(text string, allowed func(byte) bool) bool {
	for i := range len(text) {
		if !allowed(text[i]) {
			return false
		}
	}
	return true
}

// isRequestIDByte reports whether b is allowed in X-Request-Id.
func isRequestIDByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	default:
		return b == '-' || b == '_' || b == '.'
	}
}

// isVisibleASCII reports whether b is an ASCII character other than space or a control code.
func isVisibleASCII(b byte) bool {
	return b > ' ' && b < 0x7f
}

// isEventStream reports whether a content type is text/event-stream, with or without
// parameters.
func isEventStream(contentType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && media == mediaEventStream
}

// isProblem reports whether a content type is that of a Problem, with or without parameters. These may be
// malformed, as callers need not parse them.
func isProblem(contentType string) bool {
	media, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(media), problemType)
}
