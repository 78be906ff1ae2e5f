package relayd

import (
	"errors"
	"net"
	"net/http"
	"strconv"

	"chervilreach/core/relay"
	"chervilreach/io/conns"
	"chervilreach/io/guard"
)

// reasonCanceled is the reason of an error for a request that was canceled though its caller is
// connected.
const reasonCanceled relay.Reason = "canceled"

// finish removes the request. It also removes it from the reducer, which still has it if the
// handler has panicked.
func (x *exchange) finish() {
	x.d.removeExchange(x)
	x.d.meters.answerTime.UpdateSince(x.arrivedAt)
	if !x.ended {
		x.d.loop.Post(relay.CallerDone{ID: x.id})
	}
}

// fail answers a request that may have run with an error. It panics with
// http.ErrAbortHandler to cut the answer off if its beginning has been sent.
func (x *exchange) fail(reason relay.Reason) {
	if x.headerSent {
		x.cutOff(string(reason))
	}
	x.logOutcome(guard.Failed, string(reason))
	status := http.StatusBadGateway
	if reason == relay.DeadlineExceeded {
		status = http.StatusGatewayTimeout
	}
	http.Error(x.w, string(reason), status)
}

// cutOff ends an answer whose beginning has been sent. It panics with http.ErrAbortHandler.
func (x *exchange) cutOff(reason string) {
	x.logOutcome(guard.Cut, reason)
	if conn, ok := x.r.Context().Value(connKey{}).(net.Conn); ok && !x.r.ProtoAtLeast(1, 1) {
		// Over HTTP/1.0 an orderly close is the end of a whole answer.
		conns.ResetOnClose(conn)
	}
	panic(http.ErrAbortHandler)
}

// leave ends a request without an answer because its caller has disconnected or does not accept
// it. It panics with http.ErrAbortHandler, because a return would send an empty answer.
func (x *exchange) leave() {
	x.logOutcome(guard.Left, "caller disconnected")
	panic(http.ErrAbortHandler)
}

// endCanceled ends a request whose context is canceled. The context is canceled whenever a read of
// the caller's connection fails. A caller that is still connected gets an error; otherwise,
// endCanceled panics with http.ErrAbortHandler.
func (x *exchange) endCanceled() {
	if !x.callerConnected() {
		x.leave()
	}
	x.w.Header().Set("Connection", "close")
	if x.headerSent || guard.MayHaveRun(x.w) {
		x.fail(reasonCanceled)
		return
	}
	x.logOutcome(guard.Refused, string(reasonCanceled))
	refuse(x.w, http.StatusServiceUnavailable, 0, string(reasonCanceled))
}

// bufferedAnswer is an answer that has been read completely.
type bufferedAnswer struct {
	// head holds the status and header.
	head *http.Response
	body []byte
}

// writeAnswer writes a buffered answer to the caller. It panics with http.ErrAbortHandler if
// the beginning of another answer has been sent.
func (x *exchange) writeAnswer(a *bufferedAnswer) {
	if x.headerSent {
		x.cutOff("another answer has begun")
	}
	x.copyHeader(a.head)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.head.StatusCode)
	if _, err := (callerWriter{x}).Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.logOutcome(guard.Left, err.Error())
	}
}
