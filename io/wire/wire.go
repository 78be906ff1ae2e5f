// Package wire is the transport for messages between the processes of the system. A TCP
// connection carries yamux streams, and each stream carries length-prefixed protobuf frames.
package wire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"chervilreach/core/event"
	"chervilreach/io/wire/wirepb"
)

// Errors to be tested with errors.Is.
var (
	// ErrUnreachable means that no connection could be established and no request was sent.
	ErrUnreachable = errors.New("peer can't be reached")
	// ErrSilent means that the other process has stopped responding on a connection.
	ErrSilent = errors.New("connection went silent")
	// ErrUnexpectedFrame means that a frame of the wrong type was received.
	ErrUnexpectedFrame = errors.New("unexpected frame")
)

// Limits and timeouts of connections.
const (
	// maxFrameBytes is the maximum size of a frame.
	maxFrameBytes = 16 << 20
	// helloTimeout is the timeout for Transport.Dial: the TCP connect and the hello exchange.
	helloTimeout = 500 * time.Millisecond
	// writeTimeout is yamux's timeout for handing a frame to the connection and for a response
	// to a keepalive.
	writeTimeout = 2 * time.Second
	// keepAliveInterval is the interval of yamux keepalives. On accepted connections, where
	// pingLoop does not run, only keepalives detect that the other process has failed.
	keepAliveInterval = 30 * time.Second
	// readBufferBytes is the size of the read buffer of a stream that carries responses, and
	// smallBufferBytes that of other streams. A router has two of these for each agent.
	readBufferBytes  = 16 << 10
	smallBufferBytes = 1 << 10
)

// Handler serves the streams that other processes open.
type Handler interface {
	// Serve handles one stream, whose first frame has already been read. It is called in a
	// goroutine of its own and must close the stream when it is no longer needed.
	Serve(ctx context.Context, c *Conn, s *Stream, first *wirepb.Frame)
}

// Self provides the information about this process that is sent on its connections.
type Self interface {
	// Hello returns the current hello message.
	Hello() *wirepb.Hello
	// Revision returns the accepted configuration revision, which every frame carries.
	Revision() int64
}

// Transport dials and accepts connections to other processes. It may be used concurrently.
type Transport struct {
	self    Self
	clock   *event.Clock
	handler Handler
	// connCount is the number of dialed connections that are open.
	connCount atomic.Int64
}

// NewTransport returns a transport that stamps its frames with the time of clock and passes
// the streams that other processes open to handler.
func NewTransport(self Self, clock *event.Clock, handler Handler) *Transport {
	return &Transport{self: self, clock: clock, handler: handler}
}

// Conn is a connection to another process. Its methods may be called concurrently.
type Conn struct {
	transport *Transport
	session   *yamux.Session
	// activeStreams is the number of open streams that are not in the background.
	activeStreams atomic.Int64
	// lastReadAt returns the time at which data last arrived; zero if that is not known.
	lastReadAt func() time.Time
	// streamOpened notifies pingLoop that a stream was opened.
	streamOpened chan struct{}
	// remoteHello is the other process's hello; nil on accepted connections until it is
	// received.
	remoteHello atomic.Pointer[wirepb.Hello]
	// controlStream is the stream on which hellos were exchanged; nil on accepted
	// connections.
	controlStream *Stream
}

// RemoteHello returns the other process's hello, or nil if it has not been received yet.
func (c *Conn) RemoteHello() *wirepb.Hello { return c.remoteHello.Load() }

// SetRemoteHello sets the hello that RemoteHello returns. The handler of an accepted connection
// calls it with the hello that it receives.
func (c *Conn) SetRemoteHello(h *wirepb.Hello) { c.remoteHello.Store(h) }

// ControlStream returns the stream on which a dialed connection exchanged hellos. It is nil
// on accepted connections.
func (c *Conn) ControlStream() *Stream { return c.controlStream }

// Close closes the connection and all its streams.
func (c *Conn) Close() error {
	if err := c.session.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// Done returns a channel that is closed when the connection has been closed by either end or
// has failed.
func (c *Conn) Done() <-chan struct{} { return c.session.CloseChan() }

// newConn returns the connection for a yamux session. It starts no goroutines.
func newConn(t *Transport, session *yamux.Session) *Conn {
	return &Conn{
		transport: t, session: session, streamOpened: make(chan struct{}, 1),
		lastReadAt: func() time.Time { return time.Time{} },
	}
}

// sessionConfig returns the yamux configuration for both ends of a connection.
func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Dial connects to a process and exchanges hellos, within helloTimeout. After an error no
// request has been sent. The context bounds only the dial, not the connection.
func (t *Transport) Dial(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	d := net.Dialer{KeepAliveConfig: keepAlive}
	raw, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w: %w", addr, ErrUnreachable, err)
	}
	corked := newCork(raw)
	session, err := yamux.Client(corked, sessionConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start session with %s: %w", addr, err), raw.Close())
	}
	c := newConn(t, session)
	c.lastReadAt = corked.lastReadAt
	if err := c.exchangeHellos(ctx); err != nil {
		return nil, errors.Join(fmt.Errorf("exchange hellos with %s: %w: %w", addr, ErrUnreachable, err), session.Close())
	}
	go c.accept(context.WithoutCancel(ctx))
	go c.pingLoop()
	return c, nil
}

// exchangeHellos sends this process's hello on a new stream, waits for the other process's
// hello and keeps the stream as the control stream.
func (c *Conn) exchangeHellos(ctx context.Context) error {
	s, err := c.open(smallBufferBytes)
	if err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := s.SetDeadline(deadline); err != nil {
			return err
		}
	}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: c.transport.self.Hello()}}); err != nil {
		return err
	}
	f, err := s.Recv()
	if err != nil {
		return err
	}
	hello := f.GetHello()
	if hello == nil {
		return fmt.Errorf("wait for hello: %w", ErrUnexpectedFrame)
	}
	c.remoteHello.Store(hello)
	c.controlStream = s
	return s.SetDeadline(time.Time{})
}

// Listen accepts and serves connections in the background until the context is canceled, when
// it closes the listener and the accepted connections and returns nil. The listener is closed
// when Listen returns.
func (t *Transport) Listen(ctx context.Context, l net.Listener) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = l.Close()
	})
	defer func() {
		if !stop() {
			<-closed
			return
		}
		_ = l.Close()
	}()
	for {
		raw, err := l.Accept()
		if ctx.Err() != nil {
			if raw != nil {
				_ = raw.Close()
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept connection: %w", err)
		}
		session, err := yamux.Server(newCork(raw), sessionConfig())
		if err != nil {
			_ = raw.Close()
			continue
		}
		c := newConn(t, session)
		go c.accept(ctx)
	}
}

// accept serves the streams that the other process opens until the connection ends. It closes
// the connection when the context is canceled.
func (c *Conn) accept(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.session.Close() })
	defer stop()
	for {
		raw, err := c.session.AcceptStream()
		if err != nil {
			return
		}
		go c.serve(ctx, c.newStream(raw, smallBufferBytes))
	}
}

// serve reads the first frame of a stream and passes the stream to the handler.
func (c *Conn) serve(ctx context.Context, s *Stream) {
	first, err := s.Recv()
	if err != nil {
		_ = s.Close()
		return
	}
	c.transport.handler.Serve(ctx, c, s, first)
}

// Open opens a new stream. The caller must close it.
func (c *Conn) Open() (*Stream, error) { return c.open(readBufferBytes) }

// OpenBackground opens a new stream for small frames on which no request depends; see
// SetBackground. The caller must close it.
func (c *Conn) OpenBackground() (*Stream, error) {
	s, err := c.open(smallBufferBytes)
	if err == nil {
		s.SetBackground()
	}
	return s, err
}

// open opens a new stream with a read buffer of the given size.
func (c *Conn) open(bufferBytes int) (*Stream, error) {
	raw, err := c.session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	select {
	case c.streamOpened <- struct{}{}:
	default:
	}
	return c.newStream(raw, bufferBytes), nil
}

// newStream returns the Stream for a yamux stream and counts it as active. bufferBytes is the size
// of its read buffer.
func (c *Conn) newStream(raw *yamux.Stream, bufferBytes int) *Stream {
	c.activeStreams.Add(1)
	return &Stream{conn: c, raw: raw, r: bufio.NewReaderSize(raw, bufferBytes), done: make(chan struct{})}
}

// Stream is a bidirectional stream of frames on a connection. One goroutine may send while
// another receives, but neither sends nor receives may be concurrent with each other. The other
// methods may be called concurrently.
type Stream struct {
	conn   *Conn
	raw    *yamux.Stream
	r      *bufio.Reader
	closed atomic.Bool
	// background reports whether the stream is no longer counted in Conn.activeStreams,
	// because of SetBackground or Close.
	background atomic.Bool
	// done is closed by Close.
	done chan struct{}
}

// SetBackground marks the stream as one that no request depends on. A connection that has only
// background streams beside its control stream is pinged as rarely as an idle one.
func (s *Stream) SetBackground() {
	if !s.background.Swap(true) {
		s.conn.activeStreams.Add(-1)
	}
}

// Send stamps a frame with this process's time and configuration revision and writes it.
func (s *Stream) Send(f *wirepb.Frame) error {
	t := s.conn.transport
	f.Hlc = uint64(t.clock.Next(time.Now()))
	f.Revision = t.self.Revision()
	if _, err := protodelim.MarshalTo(s.raw, f); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	return nil
}

// SendAll stamps several frames as Send does and writes them with a single write.
func (s *Stream) SendAll(frames []*wirepb.Frame) error {
	t := s.conn.transport
	var buf bytes.Buffer
	for _, f := range frames {
		f.Hlc = uint64(t.clock.Next(time.Now()))
		f.Revision = t.self.Revision()
		if _, err := protodelim.MarshalTo(&buf, f); err != nil {
			return fmt.Errorf("encode frame: %w", err)
		}
	}
	if _, err := s.raw.Write(buf.Bytes()); err != nil {
		return fmt.Errorf("send frames: %w", err)
	}
	return nil
}

// RecvData blocks until it has received a frame, and then also returns the chunks of a response
// that are already buffered, until their payloads reach maxBytes. A frame of another type or an
// error ends the batch: it is returned together with the chunks received before it.
func (s *Stream) RecvData(maxBytes int) ([]*wirepb.Data, *wirepb.Frame, error) {
	var chunks []*wirepb.Data
	size := 0
	for {
		f, err := s.Recv()
		if err != nil {
			return chunks, nil, err
		}
		data := f.GetData()
		if data == nil {
			return chunks, f, nil
		}
		chunks = append(chunks, data)
		size += len(data.GetPayload())
		if size >= maxBytes || s.r.Buffered() == 0 {
			return chunks, nil, nil
		}
	}
}

// Recv reads one frame. The error wraps io.EOF if the other process closed the stream after a
// complete frame.
func (s *Stream) Recv() (*wirepb.Frame, error) {
	f := &wirepb.Frame{}
	opts := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := opts.UnmarshalFrom(s.r, f); err != nil {
		return nil, fmt.Errorf("receive frame: %w", err)
	}
	s.conn.transport.clock.Observe(event.Stamp(f.GetHlc()))
	return f, nil
}

// SetDeadline sets the deadline for reads and writes; the zero time means none.
func (s *Stream) SetDeadline(deadline time.Time) error {
	if err := s.raw.SetDeadline(deadline); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// SetReadDeadline sets the deadline for reads; the zero time means none.
func (s *Stream) SetReadDeadline(deadline time.Time) error {
	if err := s.raw.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return nil
}

// Done returns a channel that is closed when this process has closed the stream.
func (s *Stream) Done() <-chan struct{} { return s.done }

// Close closes the stream in both directions. Further calls do nothing and return nil.
func (s *Stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	close(s.done)
	if !s.background.Swap(true) {
		s.conn.activeStreams.Add(-1)
	}
	if err := s.raw.Close(); err != nil {
		return fmt.Errorf("close stream: %w", err)
	}
	return nil
}
