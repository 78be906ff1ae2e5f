package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chervilreach/io/guard"
)

// maxBufferedBytes is the maximum size of a response that is not streamed and is buffered
// completely before it is sent. For a buffered response, Content-Length is set and a late
// error can still set the HTTP status.
const maxBufferedBytes = 64 << 10

// eventEnd is the blank line that ends a server-sent event.
var eventEnd = []byte("\n\n")

// errAnswerOrder is returned when a dispatcher calls Begin twice, calls Chunk before Begin, or
// returns without calling Begin.
var errAnswerOrder = errors.New("answer begun twice or not begun")

// sink writes the response to one call and implements Sink. The status line is sent with the
// first chunk of a streamed response, and otherwise when the response ends or exceeds
// maxBufferedBytes.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// chunkTimeout is the timeout for writing one chunk to the caller.
	chunkTimeout time.Duration
	// stream reports whether the caller asked for a streamed response, which is not buffered.
	stream bool
	now    func() time.Time

	// begun reports whether Begin was called, and begunAt is when.
	begun       bool
	begunAt     time.Time
	status      int
	contentType string
	// buffered is the part of the body that is not sent yet.
	buffered []byte
	// headerSent reports whether the status line and the headers were sent.
	headerSent bool
	// lastBytes are the last two bytes of the body that were sent.
	lastBytes [2]byte
	// callerGone reports whether a write to the caller failed.
	callerGone bool
}

// Begin implements Sink.
func (s *sink) Begin(status int, contentType string) error {
	if s.begun {
		return errAnswerOrder
	}
	s.begun, s.begunAt = true, s.now()
	guard.SetMayHaveRun(s.w, true)
	s.status, s.contentType = status, contentType
	if isProblem(contentType) {
		// The type of the router's own refusals.
		s.contentType = mediaJSON
	}
	if status < http.StatusOK || status > 599 {
		s.status = http.StatusBadGateway
	}
	return nil
}

// Chunk implements Sink.
func (s *sink) Chunk(payload []byte) error {
	if !s.begun {
		return errAnswerOrder
	}
	if len(payload) == 0 {
		return nil
	}
	if !s.stream && !s.headerSent && len(s.buffered)+len(payload) <= maxBufferedBytes {
		s.buffered = append(s.buffered, payload...)
		return nil
	}
	return s.send(payload)
}

// send writes the buffered part of the body and the payload, and flushes both to the
// connection.
func (s *sink) send(payload []byte) error {
	s.extendWriteDeadline()
	if !s.headerSent {
		s.sendHeader()
		if err := s.write(s.buffered); err != nil {
			return err
		}
		s.buffered = nil
	}
	if err := s.write(payload); err != nil {
		return err
	}
	if err := s.control.Flush(); err != nil && !errors.Is(err, errors.ErrUnsupported) {
		return s.markCallerGone()
	}
	return nil
}

// finish sends the buffered part of a complete response.
func (s *sink) finish() error {
	s.extendWriteDeadline()
	if s.headerSent {
		return nil
	}
	if len(s.buffered) > 0 {
		s.w.Header().Set("Content-Length", strconv.Itoa(len(s.buffered)))
	}
	s.sendHeader()
	return s.write(s.buffered)
}

// sendHeader sends the status line and the headers.
func (s *sink) sendHeader() {
	s.headerSent = true
	h := s.w.Header()
	if s.contentType != "" {
		h.Set("Content-Type", s.contentType)
	}
	if s.stream {
		h.Set("Cache-Control", "no-store")
	}
	s.w.WriteHeader(s.status)
}

// write writes a part of the body. Bodies of responses that can't have one, such as those
// with status 204, are dropped.
func (s *sink) write(payload []byte) error {
	if len(payload) == 0 {
		return nil
	}
	_, err := s.w.Write(payload)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil
	}
	if err != nil {
		return s.markCallerGone()
	}
	s.recordLastBytes(payload)
	return nil
}

// recordLastBytes updates lastBytes after a write of payload, which must not be empty.
func (s *sink) recordLastBytes(payload []byte) {
	if n := len(payload); n >= len(s.lastBytes) {
		copy(s.lastBytes[:], payload[n-len(s.lastBytes):])
		return
	}
	s.lastBytes = [2]byte{s.lastBytes[1], payload[0]}
}

// sendProblem appends the problem as an event to a truncated stream of server-sent events.
// It does nothing if the stream does not end with a complete event or the response has
// another content type, because the problem could then be mistaken for part of the response.
func (s *sink) sendProblem(p *Problem) {
	if s.callerGone || !isEventStream(s.contentType) || !bytes.Equal(s.lastBytes[:], eventEnd) {
		return
	}
	body, err := json.Marshal(p)
	if err != nil {
		return
	}
	event := append([]byte("event: error\ndata: "), body...)
	_ = s.send(append(event, eventEnd...))
}

// extendWriteDeadline allows the caller chunkTimeout from now to read what is sent next.
func (s *sink) extendWriteDeadline() {
	// The error is ignored: response recorders in tests support no deadlines.
	_ = s.control.SetWriteDeadline(time.Now().Add(s.chunkTimeout))
}

// markCallerGone records that a write failed and returns ErrCallerGone.
func (s *sink) markCallerGone() error {
	s.callerGone = true
	return ErrCallerGone
}
