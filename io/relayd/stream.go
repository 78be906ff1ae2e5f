package relayd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilreach/core/relay"
	"chervilreach/core/route"
)

// maxEventBytes is the size of the longest stream event that can be forwarded.
const maxEventBytes = 64 << 10

// ErrEventTooLong means that a stream event is longer than maxEventBytes.
var ErrEventTooLong = errors.New("event too long")

// errNoEvent means that the endpoint closed its connection before the first event of a stream. An
// endpoint that ends after it has begun an answer does so, too.
var errNoEvent = errors.New("connection closed before the first event")

// forwardStream forwards the events of a stream as they arrive. Only complete events are
// forwarded, so that the stream can be resumed at another endpoint. A longer time than
// send.MaxGap from one event to the next is reported; comments do not count. The head is sent with the first
// event, so that until then the request can be retried or answered with an error. It reports whether
// the stream has events.
func (x *exchange) forwardStream(send relay.Send, resp *http.Response, info AnswerInfo) (hasEvents bool, err error) {
	// resumes reports whether the answer must go on with a stream whose beginning has been forwarded.
	resumes := x.headerSent
	if resumes && mediaType(resp.Header) != mediaType(x.w.Header()) {
		return false, fmt.Errorf("content type %q: %w", resp.Header.Get("Content-Type"), errNotResumed)
	}
	events := bufio.NewReaderSize(resp.Body, maxEventBytes)
	// comments are those before the first event.
	var comments []byte
	x.timing = streamTiming{}
	for {
		ev, err := readEvent(events)
		if errors.Is(err, io.EOF) && len(ev) == 0 {
			if !hasEvents && unframed(resp) {
				return false, errNoEvent
			}
			if !hasEvents && resumes {
				// The stream may lack its end, which an endpoint with an error does not tell.
				return false, fmt.Errorf("no event: %w", errNotResumed)
			}
			return hasEvents, x.beginStream(resp, info, comments)
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return hasEvents, fmt.Errorf("read stream: %w", err)
		}
		if hasField(ev) {
			if _, hasID := eventID(ev); !hasEvents && resumes && !hasID {
				return false, fmt.Errorf("event without ID: %w", errNotResumed)
			}
			if !hasEvents {
				hasEvents = true
				x.d.meters.firstEventTime.UpdateSince(x.arrivedAt)
				x.d.loop.Post(relay.AnswerStarted{ID: x.id})
			}
			x.noteEvent(send.MaxGap)
			x.timing.note(time.Now())
		}
		if !hasEvents && !x.headerSent && len(comments)+len(ev) <= maxEventBytes {
			comments = append(comments, ev...)
			continue
		}
		if !x.acceptEvent(ev) {
			continue
		}
		if err := x.beginStream(resp, info, comments); err != nil {
			return hasEvents, err
		}
		if err := x.writeEvent(ev, eventBuffered(events)); err != nil {
			return hasEvents, err
		}
	}
}

// streamTiming is when the events of one attempt of a stream came.
type streamTiming struct {
	firstAt, lastAt time.Time
	longestPause    time.Duration
}

// note takes in an event.
func (t *streamTiming) note(now time.Time) {
	if t.firstAt.IsZero() {
		t.firstAt = now
	} else {
		t.longestPause = max(t.longestPause, now.Sub(t.lastAt))
	}
	t.lastAt = now
}

// mediaType returns the media type in a header, without parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// unframed reports whether only the end of the connection marks the end of an answer.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// beginStream writes the status, the header and the comments before the first event of a stream,
// unless the beginning of the stream has been sent.
func (x *exchange) beginStream(resp *http.Response, info AnswerInfo, comments []byte) error {
	x.weightsVersion = info.WeightsVersion
	if x.headerSent {
		return nil
	}
	resp.Header.Del("Content-Length")
	x.copyHeader(resp)
	x.w.WriteHeader(resp.StatusCode)
	if len(comments) == 0 {
		return nil
	}
	if _, err := (callerWriter{x}).Write(comments); err != nil {
		return fmt.Errorf("forward comments: %w", err)
	}
	return nil
}

// hasField reports whether an event has a field. Comments and empty lines, which keep a connection
// open, are not progress of the answer.
func hasField(ev []byte) bool {
	for line := range bytes.Lines(ev) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return true
		}
	}
	return false
}

// acceptEvent reports whether an event must be forwarded, and if so records its ID, if it has
// one, in x.lastEventID.
// Events of a resumed stream that the caller has received already are not forwarded again.
// Events without an ID always are.
func (x *exchange) acceptEvent(ev []byte) bool {
	id, ok := eventID(ev)
	if !ok {
		return true
	}
	if id <= x.lastEventID && x.route.Kind == route.Stream {
		return false
	}
	x.lastEventID = id
	return true
}

// writeEvent writes an event to the caller. It flushes unless more is true, which means that
// another event follows at once.
func (x *exchange) writeEvent(ev []byte, more bool) error {
	if _, err := (callerWriter{x}).Write(ev); err != nil {
		return fmt.Errorf("forward event: %w", err)
	}
	if more {
		return nil
	}
	x.setWriting(true)
	defer x.setWriting(false)
	if err := x.rc.Flush(); err != nil {
		return fmt.Errorf("forward event: %w: %w", errCallerGone, err)
	}
	return nil
}

// eventBuffered reports whether another complete event can be read without blocking.
func eventBuffered(r *bufio.Reader) bool {
	// Peek does not fail for bytes that are buffered.
	buf, _ := r.Peek(r.Buffered())
	return eventEnd(buf, 0) > 0
}

// readEvent reads an event, including the empty line that ends it. The bytes are valid until
// the next read. With an error it returns the bytes before the error; io.EOF without bytes is
// the regular end of the stream. An event that exceeds the buffer gives ErrEventTooLong.
func readEvent(r *bufio.Reader) ([]byte, error) {
	searched := 0
	for {
		buf, err := r.Peek(max(searched+1, r.Buffered()))
		if i := eventEnd(buf, searched); i > 0 {
			_, _ = r.Discard(i)
			return buf[:i], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return buf, ErrEventTooLong
		}
		if err != nil {
			return buf, err
		}
		searched = len(buf)
	}
}

// eventEnd returns the length of the first event in buf, including its empty line; 0 if the
// event is incomplete. The first searched bytes have been searched by an earlier call.
func eventEnd(buf []byte, searched int) int {
	// The end of an event may begin in the last bytes of the searched part.
	searched = max(searched-3, 0)
	for i := searched; i < len(buf); i++ {
		if buf[i] != '\n' {
			continue
		}
		next := buf[i+1:]
		if bytes.HasPrefix(next, []byte("\n")) {
			return i + 2
		}
		if bytes.HasPrefix(next, []byte("\r\n")) {
			return i + 3
		}
	}
	return 0
}

// eventID returns the ID of an event. It returns false if the event has none or it is not an
// integer.
func eventID(ev []byte) (int64, bool) {
	for line := range bytes.Lines(ev) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
