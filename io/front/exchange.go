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
)

// exchange is one request of a caller and its answer.
type exchange struct {
	front   *Front
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	arrived time.Time
	index   *index
	member  *record.Member
	// name is what the caller calls the request, or the generated ID.
	name string
	id   fleet.RequestID
	key  string
	// reserved is the memory set aside for the body, in bytes.
	reserved int64
}

// retryDelay is when to come back after a refusal that may soon be over.
const retryDelay = time.Second

// target is what a call is for, as far as the request says it.
type target struct {
	fleet.Target
	byDefault fleet.KindID
	// repeatable is cleared where no kind of request may be run twice.
	repeatable bool
	path       string
	body       []byte
	stream     bool
	maxTokens  int
}

// open identifies the request and the member.
func (x *exchange) open() error {
	if err := x.identify(); err != nil {
		return err
	}
	if !x.r.ProtoAtLeast(1, 1) {
		return refuse(fleet.CodeBadProtocol, "HTTP/1.0 can't show that an answer was cut short: want HTTP/1.1")
	}
	x.index = x.front.indexer.current()
	if x.index == nil {
		return x.refuseForNow(fleet.CodeStarting, "no configuration yet")
	}
	x.member = x.index.member(bearerKey(x.r.Header))
	if x.member == nil {
		return refuse(fleet.CodeBadKey, "header Authorization: want Bearer and a member's key")
	}
	key, err := idempotencyKey(x.r.Header)
	x.key = key
	return err
}

// identify gives the request its name, which every answer tells.
func (x *exchange) identify() error {
	unique := x.front.newID()
	name, err := requestID(x.r.Header)
	x.name = name
	if name == "" {
		x.name = unique
	}
	x.id = fleet.RequestID(unique)
	x.w.Header().Set(headerRequestID, x.name)
	return err
}

// fullID returns the ID of the request. It is unique also when a caller, or
// another member, uses a name again: answers never cross.
func (x *exchange) fullID() fleet.RequestID {
	prefix := fleet.RequestID(x.member.ID) + "/"
	if x.name == string(x.id) {
		return prefix + x.id
	}
	return prefix + fleet.RequestID(x.name) + "/" + x.id
}

// completion reads a request to a model.
func (x *exchange) completion() (target, error) {
	if err := checkJSON(x.r.Header); err != nil {
		return target{}, err
	}
	body, err := x.body()
	if err != nil {
		return target{}, err
	}
	c, err := parseCompletion(body)
	if err != nil {
		return target{}, err
	}
	to, err := x.index.resolveModel(x.member, c.model)
	if err != nil {
		return target{}, err
	}
	body, err = c.withModel(body, fullName(to))
	return target{
		Target:     to,
		byDefault:  cmp.Or(x.index.set.Models[to.Model].DefaultKind, x.index.set.Deployment.DefaultKind),
		repeatable: true,
		path:       x.r.URL.Path,
		body:       body,
		stream:     c.stream,
		maxTokens:  c.maxTokens,
	}, err
}

// service reads a request to a plain service.
func (x *exchange) service() (target, error) {
	id := fleet.ServiceID(x.r.PathValue("name"))
	service, err := x.index.resolveService(x.member, id)
	if err != nil {
		return target{}, err
	}
	path, err := servicePath(x.r)
	if err != nil {
		return target{}, err
	}
	if err := checkEncoding(x.r.Header); err != nil {
		return target{}, err
	}
	body, err := x.body()
	return target{
		Target:     fleet.Target{Service: id},
		byDefault:  service.Kind,
		repeatable: x.index.set.Kinds[service.Kind].Idempotent,
		path:       path,
		body:       body,
		stream:     wantsEvents(x.r.Header),
	}, err
}

// servicePath returns the path and query that the service gets.
func servicePath(r *http.Request) (string, error) {
	for segment := range strings.SplitSeq(r.PathValue("path"), "/") {
		if segment == "." || segment == ".." {
			return "", refuse(fleet.CodeBadRequest, "the path has a segment "+quote(segment))
		}
	}
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 4)
	path := "/" + parts[len(parts)-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path, nil
}

// body reads the body of the request within the time set for it.
func (x *exchange) body() ([]byte, error) {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil, nil
	}
	limit := int64(x.front.limits.MaxBody)
	if x.r.ContentLength > limit {
		return nil, refuseTooLarge(limit)
	}
	if !x.reserve(limit) {
		return nil, x.refuseForNow(fleet.CodeOverloaded, "too many long bodies in progress")
	}
	// Recorders in tests have no deadline.
	_ = x.control.SetReadDeadline(time.Now().Add(x.front.limits.BodyTimeout))
	body, err := readBody(x.w, x.r, limit)
	if err == nil {
		_ = x.control.SetReadDeadline(time.Time{})
	}
	return body, err
}

// reserve sets memory aside for the body: its length, or the limit when the
// caller does not tell it. It returns false when too little is left.
func (x *exchange) reserve(limit int64) bool {
	x.reserved = x.r.ContentLength
	if x.reserved < 0 {
		x.reserved = limit
	}
	return x.front.bodies.Add(x.reserved) <= int64(x.front.limits.MaxBodies)
}

// call makes the call of a request.
func (x *exchange) call(t target) (*Call, error) {
	kind, err := x.index.resolveKind(x.r.Header, t.byDefault)
	if err != nil {
		return nil, err
	}
	end, err := deadline(x.r.Header, kind, x.arrived)
	if err != nil {
		return nil, err
	}
	call := &Call{
		ID:          x.fullID(),
		Member:      x.member.ID,
		Target:      t.Target,
		Kind:        kind.ID,
		Urgency:     kind.Urgency,
		Idempotent:  kind.Idempotent && t.repeatable,
		Deadline:    end,
		Key:         x.key,
		Method:      x.r.Method,
		Path:        t.path,
		ContentType: x.r.Header.Get("Content-Type"),
		Body:        t.body,
		Stream:      t.stream,
		MaxTokens:   t.maxTokens,
	}
	if t.Service == "" {
		call.PromptTokens = promptTokens(t.body)
	}
	return call, nil
}

// answer has the call run and writes its answer.
func (x *exchange) answer(call *Call) {
	out := &sink{
		w: x.w, control: x.control, now: x.front.now,
		chunkTimeout: x.front.limits.ChunkTimeout, stream: call.Stream,
	}
	err := x.front.dispatcher.Dispatch(x.r.Context(), call, out)
	if out.begun {
		x.front.meters.firstByte.Update(out.begunAt.Sub(x.arrived).Nanoseconds())
	}
	if err == nil && !out.begun {
		err = errOrder
	}
	if err == nil {
		x.finish(out)
		return
	}
	switch {
	case errors.Is(context.Cause(x.r.Context()), errBrokenOff):
		err = brokenOff(err)
	case out.gone || x.r.Context().Err() != nil:
		x.front.meters.callerGone()
		panic(http.ErrAbortHandler)
	}
	p := x.problem(err)
	if !out.sent {
		out.extendDeadline()
		p.write(x.w)
		return
	}
	x.front.meters.cut()
	out.sendProblem(p)
	panic(http.ErrAbortHandler)
}

// brokenOff returns the refusal of a call that a drain has broken off. Whether it
// has run is as its dispatcher says.
func brokenOff(err error) error {
	refusal := refusalOf(err)
	refusal.Code, refusal.Detail = fleet.CodeDraining, errBrokenOff.Error()
	return &RefusedError{Refusal: refusal}
}

// finish ends a whole answer.
func (x *exchange) finish(out *sink) {
	if err := out.finish(); err != nil {
		x.front.meters.callerGone()
		panic(http.ErrAbortHandler)
	}
	x.front.meters.answered()
}

// refuseForNow returns the refusal of a request that may soon be served.
func (x *exchange) refuseForNow(code fleet.Code, detail string) error {
	refused := refuse(code, detail)
	refused.RetryAt = x.arrived.Add(retryDelay)
	return refused
}

// problem returns and counts the problem of an error.
func (x *exchange) problem(err error) *Problem {
	refusal := refusalOf(err)
	x.front.meters.refused(refusal.Code)
	return newProblem(refusal, x.name, x.front.now())
}

// refuse writes the final answer to a request that was not handed on.
func (x *exchange) refuse(err error) {
	x.limitWrite()
	x.problem(err).write(x.w)
}

// limitWrite gives the caller the time for one chunk to read a short answer.
func (x *exchange) limitWrite() {
	// Recorders in tests have no deadline.
	_ = x.control.SetWriteDeadline(time.Now().Add(x.front.limits.ChunkTimeout))
}
