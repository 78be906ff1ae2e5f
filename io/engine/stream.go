package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"chervilreach/core/fleet"
)

// maxBufferedChunks bounds the chunks that are read before Next returns them.
const maxBufferedChunks = 8

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// doneLine is the data line of the last event of an OpenAI-style stream.
var doneLine = []byte("data: [DONE]")

// Stream is the answer to a call. It returns chunks as they arrive. It is not safe for
// concurrent use and must be closed.
type Stream struct {
	// chunks receives the chunks, and is closed after endErr has been set.
	chunks chan Chunk
	// activity receives a value when a comment of the event stream arrives, which engines
	// send to keep the connection alive.
	activity chan struct{}
	// endErr is the error of Next after the last chunk.
	endErr error
	// closed is closed by Close.
	closed chan struct{}
	// cancel ends the request and the reading of its answer.
	cancel      context.CancelFunc
	idleTimeout time.Duration
	closeOnce   sync.Once
}

// Generate sends a call and returns its answer as a stream. It returns as soon as there is
// a connection for the request; later errors are returned by Stream.Next. It fails with
// ErrUnreachable if there is no connection, so that nothing was sent. If req.ResumeFrom is not
// 0, it calls Resume instead.
func (c *Client) Generate(ctx context.Context, req Request) (*Stream, error) {
	if req.ResumeFrom > 0 {
		return c.Resume(ctx, req.ID, req.ResumeFrom)
	}
	method := req.Method
	if method == "" {
		method = http.MethodPost
	}
	return c.startStream(ctx, httpRequest{id: req.ID, method: method, path: req.Path, header: requestHeader(req), body: req.Body, unpooled: req.NewConn})
}

// CallService sends a call to a plain service. It is Generate without Resume, which plain
// services do not support.
func (c *Client) CallService(ctx context.Context, req Request) (*Stream, error) {
	req.ResumeFrom = 0
	return c.Generate(ctx, req)
}

// Resume returns the stream of an earlier request, starting with the chunk whose index is
// offset. It executes nothing. It fails with ErrUnknownStream if the engine does not know
// the request, with a StatusError if it refuses otherwise, and with ErrUnreachable or
// ErrResponseLost if it does not answer.
func (c *Client) Resume(ctx context.Context, id fleet.RequestID, offset uint64) (*Stream, error) {
	path := PathStreams + url.PathEscape(string(id)) + "?offset=" + strconv.FormatUint(offset, 10)
	ctx, cancel := context.WithTimeout(ctx, c.opts.TotalTimeout)
	// Timeout applies only until the header of the answer arrives.
	timer := time.AfterFunc(c.opts.Timeout, cancel)
	resp, sent, err := c.do(ctx, httpRequest{id: id, method: http.MethodGet, path: path}) //nolint:bodyclose // closed by the reader below
	if timer.Stop(); err != nil {
		cancel()
		return nil, fmt.Errorf("resume %s: %w", id, resumeError(sent, err))
	}
	s := c.newStream(cancel)
	go s.run(func() error {
		defer closeBody(resp)
		return s.readBody(ctx, resp, offset, c.opts.MaxBodyBytes)
	})
	return s, nil
}

// startStream sends a request and returns its answer as a stream as soon as there is a
// connection for it.
func (c *Client) startStream(ctx context.Context, msg httpRequest) (*Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.TotalTimeout)
	s := c.newStream(cancel)
	sent := make(chan struct{})
	failed := make(chan error, 1)
	var once sync.Once
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { once.Do(func() { close(sent) }) }}
	go s.run(func() error {
		resp, wasSent, err := c.send(httptrace.WithClientTrace(ctx, trace), msg)
		if err != nil {
			err = classifyFailure(wasSent, err)
			failed <- err
			return err
		}
		defer closeBody(resp)
		return s.readBody(ctx, resp, 0, c.opts.MaxBodyBytes)
	})
	select {
	case <-sent:
		return s, nil
	case err := <-failed:
		s.Close()
		return nil, err
	}
}

// newStream returns a stream without a reader. The caller must start run.
func (c *Client) newStream(cancel context.CancelFunc) *Stream {
	return &Stream{
		chunks:      make(chan Chunk, maxBufferedChunks),
		activity:    make(chan struct{}, 1),
		closed:      make(chan struct{}),
		cancel:      cancel,
		idleTimeout: c.opts.IdleTimeout,
	}
}

// Next returns the next chunk. It fails with io.EOF after the last chunk, with ErrTruncated
// or ErrResponseLost if the answer broke off, with ErrTooLarge, with ErrUnreachable if
// nothing was sent after all, and with ErrIdleTimeout if neither an event nor a comment
// arrived for Options.IdleTimeout. Next may be called again after ErrIdleTimeout.
func (s *Stream) Next() (Chunk, error) {
	select {
	case chunk, ok := <-s.chunks:
		return s.result(chunk, ok)
	default:
	}
	timer := time.NewTimer(s.idleTimeout)
	defer timer.Stop()
	for {
		select {
		case chunk, ok := <-s.chunks:
			return s.result(chunk, ok)
		case <-s.activity:
			timer.Reset(s.idleTimeout)
		case <-timer.C:
			return Chunk{}, ErrIdleTimeout
		}
	}
}

// result returns what Next returns after a receive from chunks: chunk, or endErr if ok is
// false because chunks is closed.
func (s *Stream) result(chunk Chunk, ok bool) (Chunk, error) {
	if !ok {
		return Chunk{}, s.endErr
	}
	return chunk, nil
}

// Close discards the rest of the answer. It does not cancel the request at the engine.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		s.cancel()
		close(s.closed)
	})
}

// run reads the answer with the given function, and stores its error for Next.
func (s *Stream) run(read func() error) {
	s.endErr = read()
	close(s.chunks)
	s.cancel()
}

// readBody sends the body of an answer to Next as chunks: one for each server-sent event,
// or a single one. It returns io.EOF if the body is complete.
func (s *Stream) readBody(ctx context.Context, resp *http.Response, offset uint64, limit int) error {
	chunk := Chunk{Index: offset, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	media, _, _ := mime.ParseMediaType(chunk.ContentType)
	if media == eventStreamType && resp.StatusCode == http.StatusOK {
		return s.readEvents(ctx, resp.Body, chunk, limit)
	}
	body, err := readAll(resp.Body, limit)
	if errors.Is(err, ErrTooLarge) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if resp.ContentLength < 0 && !isChunked(resp) {
		return fmt.Errorf("%w: the answer has no length", ErrTruncated)
	}
	chunk.Payload = body
	return s.emit(ctx, chunk, io.EOF)
}

// isChunked reports whether an answer uses chunked encoding. Without that and without a
// length, the end of the body looks the same as a broken connection.
func isChunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0
}

// readEvents sends server-sent events to Next as chunks. It returns io.EOF after the event
// that ends the stream.
func (s *Stream) readEvents(ctx context.Context, body io.Reader, chunk Chunk, limit int) error {
	r := bufio.NewReaderSize(body, readBufferBytes)
	for {
		event, err := readEvent(r, limit)
		if errors.Is(err, ErrTooLarge) {
			return err
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		if event[0] == ':' {
			s.signalActivity()
			continue
		}
		chunk.Payload = event
		if isDone(event) {
			return s.emit(ctx, chunk, io.EOF)
		}
		if err := s.emit(ctx, chunk, nil); err != nil {
			return err
		}
		chunk.Index++
	}
}

// signalActivity makes Next restart its idle timeout.
func (s *Stream) signalActivity() {
	select {
	case s.activity <- struct{}{}:
	default:
	}
}

// emit sends a chunk to Next and returns result, or an error that wraps ErrTruncated if
// the stream was closed or ctx has ended.
func (s *Stream) emit(ctx context.Context, chunk Chunk, result error) error {
	select {
	case s.chunks <- chunk:
		return result
	case <-s.closed:
		return fmt.Errorf("%w: closed", ErrTruncated)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrTruncated, ctx.Err())
	}
}

// readEvent reads one server-sent event with its trailing blank line. It fails with
// ErrTooLarge if the event exceeds limit bytes.
func readEvent(r *bufio.Reader, limit int) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > limit {
			return nil, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// isDone reports whether an event ends an OpenAI-style stream.
func isDone(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.Equal(bytes.TrimRight(line, "\r\n"), doneLine) {
			return true
		}
	}
	return false
}

// resumeError classifies the error of a request that resumes a stream.
func resumeError(sent bool, err error) error {
	if errors.Is(err, ErrStatus) {
		return mapNotFound(err)
	}
	return classifyFailure(sent, err)
}

// mapNotFound adds ErrUnknownStream to an error with status 404.
func mapNotFound(err error) error {
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return fmt.Errorf("%w: %w", ErrUnknownStream, err)
	}
	return err
}
