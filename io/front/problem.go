package front

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chervilreach/core/fleet"
)

// problemType is the media type of a Problem.
const problemType = "application/problem+json"

// Problem is the body of a refusal, in the problem details format of RFC 9457.
type Problem struct {
	Status int    `json:"status" doc:"HTTP status"`
	Title  string `json:"title" doc:"what the status means"`
	Detail string `json:"detail,omitempty" doc:"what was wrong here"`
	// Code identifies the reason. Codes are stable, so that programs can match them.
	Code fleet.Code `json:"code" doc:"stable reason of the refusal"`
	// NotRun says whether the request was not run and had no effect: true, false or
	// unknown.
	NotRun    fleet.NotRun `json:"not-run" enum:"true,false,unknown" doc:"whether the request has not been run"`
	RequestID string       `json:"request-id,omitempty" doc:"as in the header X-Request-Id"`

	// retryAfter is the delay for the Retry-After header; 0 for no header.
	retryAfter time.Duration
}

// setHeaders sets the response headers Retry-After and WWW-Authenticate if they apply.
func (p *Problem) setHeaders(h http.Header) {
	if p.retryAfter > 0 {
		seconds := (p.retryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if p.Code == fleet.CodeBadKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
}

// write sends the problem as the complete response.
func (p *Problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := w.Header()
	p.setHeaders(h)
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// newProblem returns the problem that reports a refusal to the caller.
func newProblem(r fleet.Refusal, requestID string, now time.Time) *Problem {
	p := &Problem{
		Detail:    r.Detail,
		Code:      r.Code,
		NotRun:    r.NotRun,
		RequestID: requestID,
	}
	if p.NotRun != fleet.NotRunTrue && p.NotRun != fleet.NotRunFalse {
		p.NotRun = fleet.NotRunUnknown
	}
	p.Status = httpStatus(r.Code, p.NotRun)
	p.Title = http.StatusText(p.Status)
	if !r.RetryAt.IsZero() {
		p.retryAfter = max(r.RetryAt.Sub(now), time.Second)
	}
	return p
}

// newRefusedError returns the error for a request that was not dispatched and so not run.
func newRefusedError(code fleet.Code, detail string) *RefusedError {
	return &RefusedError{Refusal: fleet.Refusal{Code: code, NotRun: fleet.NotRunTrue, Detail: detail}}
}

// refusalOf returns the refusal of the RefusedError that err wraps. For any other error it
// returns a refusal with NotRunUnknown.
func refusalOf(err error) fleet.Refusal {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return fleet.Refusal{Code: fleet.CodeOutcomeUnknown, NotRun: fleet.NotRunUnknown, Detail: "the call failed on the way"}
}

// statusByCode holds the HTTP statuses for refusals of requests that were not run. Codes
// that are not listed have status 503.
var statusByCode = map[fleet.Code]int{
	fleet.CodeBadRequest:           http.StatusBadRequest,
	fleet.CodeBadPatience:          http.StatusBadRequest,
	fleet.CodeUnknownKind:          http.StatusBadRequest,
	fleet.CodeBadKey:               http.StatusUnauthorized,
	fleet.CodeNoRight:              http.StatusForbidden,
	fleet.CodeUnknownModel:         http.StatusNotFound,
	fleet.CodeUnknownService:       http.StatusNotFound,
	fleet.CodeUnknownPath:          http.StatusNotFound,
	fleet.CodeMethodNotAllowed:     http.StatusMethodNotAllowed,
	fleet.CodeBodyTimeout:          http.StatusRequestTimeout,
	fleet.CodeTooLarge:             http.StatusRequestEntityTooLarge,
	fleet.CodeUnsupportedMedia:     http.StatusUnsupportedMediaType,
	fleet.CodeIdempotencyKeyReused: http.StatusUnprocessableEntity,
	fleet.CodeMemberLimit:          http.StatusTooManyRequests,
	fleet.CodeUnsupportedProtocol:  http.StatusHTTPVersionNotSupported,
}

// httpStatus returns the HTTP status of a refusal. 504 is used only for requests that may
// or may not have been run, and 409 and 502 only for requests that were run.
func httpStatus(code fleet.Code, notRun fleet.NotRun) int {
	switch {
	case notRun == fleet.NotRunUnknown:
		return http.StatusGatewayTimeout
	case notRun == fleet.NotRunFalse && code == fleet.CodeAlreadyRan:
		return http.StatusConflict
	case notRun == fleet.NotRunFalse:
		return http.StatusBadGateway
	}
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
