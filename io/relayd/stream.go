package relayd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/conns"
)

// eventBuffer is the longest event of a stream, in bytes.
const maxEventBytes = 64 << 10

// ErrEventTooLong says that an event does not fit the buffer.
var ErrEventTooLong = errors.New("event too long")

// passStream passes on the events of a stream as they come. Only whole events
// are passed on, so that the stream can go on at another endpoint.
func (x *exchange) forwardStream(c *conns.Conn, send relay.Send, resp *http.Response) error {
	in := bufio.NewReaderSize(resp.Body, maxEventBytes)
	if !x.headerSent {
		resp.Header.Del("Content-Length")
		x.copyHeader(resp)
		x.w.WriteHeader(resp.StatusCode)
	}
	begun := false
	for {
		ev, err := readEvent(in)
		if errors.Is(err, io.EOF) && len(ev) == 0 {
			return nil
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return fmt.Errorf("read stream: %w", err)
		}
		if !begun {
			begun = true
			x.d.meters.firstEventTime.UpdateSince(x.arrivedAt)
			x.d.loop.Post(relay.AnswerStarted{ID: x.id})
		}
		if err := setEventDeadline(c, send.MaxGap); err != nil {
			return err
		}
		if !x.advance(ev) {
			continue
		}
		if err := x.writeEvent(ev, eventBuffered(in)); err != nil {
			return err
		}
	}
}

// boundSilence bounds the time until the next event; 0 is no bound.
func setEventDeadline(c *conns.Conn, most time.Duration) error {
	var until time.Time
	if most > 0 {
		until = time.Now().Add(most)
	}
	if err := c.SetReadDeadline(until); err != nil {
		return fmt.Errorf("bound silence: %w", err)
	}
	return nil
}

// next says whether an event is the next to be passed on, and counts it.
func (x *exchange) advance(ev []byte) bool {
	id, ok := eventID(ev)
	if !ok {
		return true
	}
	if id <= x.lastEvent && x.route.Kind == route.Stream {
		return false
	}
	x.lastEvent = id
	return true
}

func (x *exchange) writeEvent(ev []byte, more bool) error {
	if _, err := (callerWriter{x}).Write(ev); err != nil {
		return fmt.Errorf("pass on event: %w", err)
	}
	if more {
		return nil
	}
	if err := x.rc.Flush(); err != nil {
		return fmt.Errorf("pass on event: %w: %w", errCallerGone, err)
	}
	return nil
}

// wholeEventNext says whether another event has come whole already.
func eventBuffered(r *bufio.Reader) bool {
	// What is buffered can always be peeked at.
	buf, _ := r.Peek(r.Buffered())
	return eventEnd(buf, 0) > 0
}

// readEvent reads up to and with the empty line that ends an event. The bytes
// are good until the next call.
func readEvent(r *bufio.Reader) ([]byte, error) {
	seen := 0
	for {
		buf, err := r.Peek(max(seen+1, r.Buffered()))
		if i := eventEnd(buf, seen); i > 0 {
			_, _ = r.Discard(i)
			return buf[:i], nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return buf, ErrEventTooLong
		}
		if err != nil {
			return buf, err
		}
		seen = len(buf)
	}
}

// eventEnd returns the length of the first event in buf; 0 if it is not whole.
// Bytes before from have been looked through.
func eventEnd(buf []byte, from int) int {
	from = max(from-3, 0)
	for i := from; i < len(buf); i++ {
		if buf[i] != '\n' {
			continue
		}
		rest := buf[i+1:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return i + 2
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + 3
		}
	}
	return 0
}

// eventID returns the id of an event.
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
