package relayd

import (
	"fmt"
	"io"
	"net/http"

	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/conns"
	"chervilreach/io/guard"
)

// forwardAnswer forwards an answer to the caller and sets the result of the attempt. Short
// answers are read completely first. A failure is not forwarded but stored in
// x.failedAnswer, as the reducer decides whether to retry. An error means that the
// connection can't be used again.
func (x *exchange) forwardAnswer(send relay.Send, resp *http.Response, info AnswerInfo, ended *relay.AttemptEnded) error {
	if x.route.Kind == route.Stream && resp.StatusCode == http.StatusOK {
		hasEvents, err := x.forwardStream(send, resp, info)
		if err != nil {
			return err
		}
		ended.Result, ended.PromptServed = relay.Done, hasEvents
		return x.extendWriteDeadline()
	}
	x.endAlarm()
	if x.headerSent {
		return fmt.Errorf("status %d: %w", resp.StatusCode, errNotResumed)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxBufferedBytes {
		return x.forwardUnbuffered(resp, body, ended)
	}
	answer := &bufferedAnswer{head: resp, body: body}
	if isFailure(resp) {
		x.failedAnswer = answer
		ended.Result = relay.Failed
		return nil
	}
	x.d.loop.Post(relay.AnswerStarted{ID: x.id})
	x.writeAnswer(answer)
	ended.Result, ended.PromptServed = relay.Done, isWholeSuccess(resp)
	return nil
}

// isFailure reports whether an answer to a request that has run, as far as is known, is a failure of the
// endpoint. A status that says that the request has not run is one: only HeaderCodec.ParseAnswer tells
// whether the endpoint has rejected the request.
func isFailure(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusInternalServerError || guard.PromisesNotRun(resp.StatusCode)
}

// isWholeSuccess reports whether an answer that has ended is a success that certainly is complete.
func isWholeSuccess(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices && !unframed(resp)
}

// forwardUnbuffered forwards an answer that is too long to be buffered. start is the part
// that has been read already.
func (x *exchange) forwardUnbuffered(resp *http.Response, start []byte, ended *relay.AttemptEnded) error {
	x.copyHeader(resp)
	x.w.WriteHeader(resp.StatusCode)
	caller := callerWriter{x}
	if _, err := caller.Write(start); err != nil {
		return fmt.Errorf("forward answer: %w", err)
	}
	if _, err := io.Copy(caller, resp.Body); err != nil {
		return fmt.Errorf("forward answer: %w", err)
	}
	ended.Result, ended.PromptServed, ended.EndpointFailed = relay.Done, isWholeSuccess(resp), isFailure(resp)
	return x.extendWriteDeadline()
}

// copyHeader copies the header of an endpoint's answer to the answer to the caller, without
// the headers that concern one connection only, and sets headerSent. The status must be
// written next.
func (x *exchange) copyHeader(resp *http.Response) {
	conns.StripHopByHop(resp.Header)
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Prevents net/http from guessing a type.
		h["Content-Type"] = nil
	}
	x.d.announceClose(h)
	x.headerSent = true
}
