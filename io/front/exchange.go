package front

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/io/guard"
)

// exchange is the state of one HTTP request from a caller and of the response to it.
type exchange struct {
	front   *Front
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	// arrivedAt is the time at which the request arrived, the base of its deadline.
	arrivedAt time.Time
	// index provides lookups in the configuration that was current when the request was
	// authenticated and that applies until it ends.
	index  *index
	member *record.Member
	// publicID is the caller's X-Request-Id, or uniqueID if the caller sent none. Every
	// response returns it.
	publicID string
	// uniqueID is the ID that the front generated.
	uniqueID       fleet.RequestID
	idempotencyKey string
	// reservedBytes is the memory reserved for the body.
	reservedBytes int64
}

// retryDelay is the delay before a retry that is suggested to callers when the reason for
// a refusal is temporary.
const retryDelay = time.Second

// parsedRequest holds the parts of a call that are read from the request itself.
type parsedRequest struct {
	fleet.Target
	// defaultKind is the kind of request if the caller names none.
	defaultKind fleet.KindID
	// allowIdempotent reports whether the request may be treated as idempotent if its
	// kind is. It is false for a service whose own kind is not idempotent.
	allowIdempotent bool
	path            string
	body            []byte
	stream          bool
	maxTokens       int
}

// authenticate sets publicID, uniqueID, index, member and idempotencyKey. It refuses a request
// that uses HTTP/1.0, has no key of a member, or has an invalid X-Request-Id or Idempotency-Key.
func (x *exchange) authenticate() error {
	if err := x.setRequestID(); err != nil {
		return err
	}
	if !x.r.ProtoAtLeast(1, 1) {
		return newRefusedError(fleet.CodeUnsupportedProtocol, "HTTP/1.0 can't show that an answer was cut short: want HTTP/1.1")
	}
	x.index = x.front.indexes.current()
	if x.index == nil {
		return x.temporaryRefusal(fleet.CodeStarting, "no configuration yet")
	}
	x.member = x.index.memberByKey(bearerKey(x.r.Header))
	if x.member == nil {
		return newRefusedError(fleet.CodeBadKey, "header Authorization: want Bearer and a member's key")
	}
	key, err := parseIdempotencyKey(x.r.Header)
	x.idempotencyKey = key
	return err
}

// setRequestID sets the IDs of the request and the X-Request-Id header of the response.
func (x *exchange) setRequestID() error {
	generated := x.front.newID()
	id, err := parseRequestID(x.r.Header)
	x.publicID = id
	if id == "" {
		x.publicID = generated
	}
	x.uniqueID = fleet.RequestID(generated)
	x.w.Header().Set(headerRequestID, x.publicID)
	return err
}

// callID returns the ID of the call. It contains the generated ID, so it is unique even if
// this or another member reuses an X-Request-Id and no caller gets the response to another
// request.
func (x *exchange) callID() fleet.RequestID {
	prefix := fleet.RequestID(x.member.ID) + "/"
	if x.publicID == string(x.uniqueID) {
		return prefix + x.uniqueID
	}
	return prefix + fleet.RequestID(x.publicID) + "/" + x.uniqueID
}

// readCompletion parses a completion request to a model.
func (x *exchange) readCompletion() (parsedRequest, error) {
	if err := checkJSON(x.r.Header); err != nil {
		return parsedRequest{}, err
	}
	body, err := x.body()
	if err != nil {
		return parsedRequest{}, err
	}
	c, err := parseCompletion(body)
	if err != nil {
		return parsedRequest{}, err
	}
	model, err := x.index.resolveModel(x.member, c.model)
	if err != nil {
		return parsedRequest{}, err
	}
	body, err = c.replaceModel(body, engineModelName(model))
	return parsedRequest{
		Target:          model,
		defaultKind:     cmp.Or(x.index.config.Models[model.Model].DefaultKind, x.index.config.Deployment.DefaultKind),
		allowIdempotent: true,
		path:            x.r.URL.Path,
		body:            body,
		stream:          c.stream,
		maxTokens:       c.maxTokens,
	}, err
}

// readService parses a request to a plain service.
func (x *exchange) readService() (parsedRequest, error) {
	id := fleet.ServiceID(x.r.PathValue("name"))
	service, err := x.index.resolveService(x.member, id)
	if err != nil {
		return parsedRequest{}, err
	}
	path, err := servicePath(x.r)
	if err != nil {
		return parsedRequest{}, err
	}
	if err := checkEncoding(x.r.Header); err != nil {
		return parsedRequest{}, err
	}
	body, err := x.body()
	return parsedRequest{
		Target:          fleet.Target{Service: id},
		defaultKind:     service.Kind,
		allowIdempotent: x.index.config.Kinds[service.Kind].Idempotent,
		path:            path,
		body:            body,
		stream:          acceptsEventStream(x.r.Header),
	}, err
}

// servicePath returns the path and query string for the service: the request path without
// the prefix /services/NAME, still percent-encoded. It refuses the segments "." and "..".
func servicePath(r *http.Request) (string, error) {
	for segment := range strings.SplitSeq(r.PathValue("path"), "/") {
		if segment == "." || segment == ".." {
			return "", newRefusedError(fleet.CodeBadRequest, "the path has a segment "+quote(segment))
		}
	}
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 4)
	path := "/" + parts[len(parts)-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path, nil
}

// body reads the request body within the limits for size, memory and time. It returns nil
// if there is none.
func (x *exchange) body() ([]byte, error) {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil, nil
	}
	limit := int64(x.front.limits.MaxBody)
	if x.r.ContentLength > limit {
		return nil, tooLargeError(limit)
	}
	if !x.reserve(limit) {
		return nil, x.temporaryRefusal(fleet.CodeOverloaded, "too many long bodies in progress")
	}
	// The error is ignored: response recorders in tests support no deadlines.
	_ = x.control.SetReadDeadline(time.Now().Add(x.front.limits.BodyTimeout))
	body, err := readBody(x.w, x.r, limit)
	if err == nil {
		_ = x.control.SetReadDeadline(time.Time{})
	}
	return body, err
}

// reserve reserves memory for the body: its declared length, or limit bytes if the length
// is unknown. It reports whether the total stays within Limits.MaxTotalBody. The reservation
// counts until release in either case.
func (x *exchange) reserve(limit int64) bool {
	x.reservedBytes = x.r.ContentLength
	if x.reservedBytes < 0 {
		x.reservedBytes = limit
	}
	return x.front.bodyBytes.Add(x.reservedBytes) <= int64(x.front.limits.MaxTotalBody)
}

// newCall returns the call for a parsed request.
func (x *exchange) newCall(parsed parsedRequest) (*Call, error) {
	kind, err := x.index.resolveKind(x.r.Header, parsed.defaultKind)
	if err != nil {
		return nil, err
	}
	deadline, err := requestDeadline(x.r.Header, kind, x.arrivedAt)
	if err != nil {
		return nil, err
	}
	call := &Call{
		ID:             x.callID(),
		Member:         x.member.ID,
		Target:         parsed.Target,
		Kind:           kind.ID,
		Urgency:        kind.Urgency,
		Idempotent:     kind.Idempotent && parsed.allowIdempotent,
		Deadline:       deadline,
		IdempotencyKey: x.idempotencyKey,
		Method:         x.r.Method,
		Path:           parsed.path,
		ContentType:    x.r.Header.Get("Content-Type"),
		Body:           parsed.body,
		Stream:         parsed.stream,
		MaxTokens:      parsed.maxTokens,
	}
	if parsed.Service == "" {
		call.PromptTokens = estimatePromptTokens(parsed.body)
	}
	return call, nil
}

// dispatch runs the call and writes its response. It panics with http.ErrAbortHandler to
// close the connection if the caller has disconnected or the response is truncated.
func (x *exchange) dispatch(call *Call) {
	out := &sink{
		w: x.w, control: x.control, now: x.front.now,
		chunkTimeout: x.front.limits.ChunkTimeout, stream: call.Stream,
	}
	err := x.front.dispatcher.Dispatch(x.r.Context(), call, out)
	if out.begun {
		x.front.meters.firstByteTime.Update(out.begunAt.Sub(x.arrivedAt).Nanoseconds())
	}
	if err == nil && !out.begun {
		err = errAnswerOrder
	}
	if err == nil {
		x.finish(out)
		return
	}
	switch {
	case errors.Is(context.Cause(x.r.Context()), errDrainTimeout):
		err = drainRefusal(err)
	case out.callerGone || x.r.Context().Err() != nil:
		x.abandon()
	}
	if out.begun {
		err = ranRefusal(err)
	}
	p := x.problemFor(err)
	if !out.headerSent {
		guard.End(x.w, guard.Refused)
		out.extendWriteDeadline()
		p.write(x.w)
		return
	}
	x.front.meters.countTruncated()
	guard.End(x.w, guard.Cut)
	out.sendProblem(p)
	panic(http.ErrAbortHandler)
}

// drainRefusal returns the refusal of a call that was canceled at the end of a drain. Its
// NotRun is the one that the dispatcher reported with err.
func drainRefusal(err error) error {
	refusal := refusalOf(err)
	refusal.Code, refusal.Detail = fleet.CodeDraining, errDrainTimeout.Error()
	return &RefusedError{Refusal: refusal}
}

// ranRefusal returns the refusal of a call whose response has begun, so that it has been run.
func ranRefusal(err error) error {
	refusal := refusalOf(err)
	if refusal.NotRun == fleet.NotRunTrue {
		refusal.NotRun = fleet.NotRunFalse
	}
	return &RefusedError{Refusal: refusal}
}

// finish sends the buffered part of a complete response and counts the response.
func (x *exchange) finish(out *sink) {
	if err := out.finish(); err != nil {
		x.abandon()
	}
	guard.End(x.w, guard.Answered)
	x.front.meters.countAnswered()
}

// abandon ends a request whose caller has disconnected or reads too slowly. It panics with
// http.ErrAbortHandler.
func (x *exchange) abandon() {
	x.front.meters.countCallerGone()
	guard.End(x.w, guard.Left)
	panic(http.ErrAbortHandler)
}

// temporaryRefusal returns a refusal that asks the caller to retry after retryDelay.
func (x *exchange) temporaryRefusal(code fleet.Code, detail string) error {
	err := newRefusedError(code, detail)
	err.RetryAt = x.arrivedAt.Add(retryDelay)
	return err
}

// problemFor returns the problem that reports err to the caller, and counts the refusal.
func (x *exchange) problemFor(err error) *Problem {
	refusal := refusalOf(err)
	x.front.meters.countRefused(refusal.Code)
	return newProblem(refusal, x.publicID, x.front.now())
}

// writeRefusal writes the response to a request that is not dispatched.
func (x *exchange) writeRefusal(err error) {
	guard.End(x.w, guard.Refused)
	x.extendWriteDeadline()
	x.problemFor(err).write(x.w)
}

// extendWriteDeadline allows the caller Limits.ChunkTimeout from now to read a short
// response.
func (x *exchange) extendWriteDeadline() {
	// The error is ignored: response recorders in tests support no deadlines.
	_ = x.control.SetWriteDeadline(time.Now().Add(x.front.limits.ChunkTimeout))
}
