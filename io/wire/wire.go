// Package wire carries messages between the system's processes: yamux streams
// over TCP, each with frames of protobuf that are preceded by their length.
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

// Errors that callers test with errors.Is.
var (
	// ErrUnreachable says that no connection could be made; nothing was sent.
	ErrUnreachable = errors.New("peer can't be reached")
	// ErrSilent says that a connection has stopped answering.
	ErrSilent = errors.New("connection went silent")
	// ErrUnexpected says that a frame came that does not belong there.
	ErrUnexpected = errors.New("unexpected frame")
)

// Bounds of connections.
const (
	// maxFrame is the largest frame in bytes.
	maxFrame = 16 << 20
	// helloBound is how long a new connection may take until the peer's hello.
	helloBound = 500 * time.Millisecond
	// writeBound is how long a frame may wait to be handed to the connection.
	writeBound = 2 * time.Second
	// keepAlive is how often an accepted connection checks its other end.
	keepAlive = 30 * time.Second
	// streamBuffer is the read buffer of a stream in bytes.
	streamBuffer = 16 << 10
)

// Handler serves the streams that a peer opens.
type Handler interface {
	// Serve owns the stream, whose first frame has been read already.
	Serve(ctx context.Context, c *Conn, s *Stream, first *wirepb.Frame)
}

// Self is what a process says of itself on its connections.
type Self interface {
	// Hello returns the present hello message.
	Hello() *wirepb.Hello
	// Revision returns the accepted configuration revision.
	Revision() int64
}

// Peer is this process's end of all its connections.
type Peer struct {
	self    Self
	clock   *event.Clock
	handler Handler
}

// NewPeer returns an end that stamps its frames with the clock and serves
// incoming streams by the handler.
func NewPeer(self Self, clock *event.Clock, handler Handler) *Peer {
	return &Peer{self: self, clock: clock, handler: handler}
}

// Conn is one connection to another process.
type Conn struct {
	peer    *Peer
	session *yamux.Session
	streams atomic.Int64
	// opened tells the watch that a stream was opened.
	opened chan struct{}
	// Remote is the other process's hello; nil on accepted connections until
	// it has come.
	remote atomic.Pointer[wirepb.Hello]
	// Control is the stream of the hello, on dialled connections.
	control *Stream
}

// Remote returns the other process's hello; nil until it has come.
func (c *Conn) Remote() *wirepb.Hello { return c.remote.Load() }

// SetRemote stores the hello that an accepted connection has brought.
func (c *Conn) SetRemote(h *wirepb.Hello) { c.remote.Store(h) }

// Control returns the stream of the hello on dialled connections; nil on
// accepted ones.
func (c *Conn) Control() *Stream { return c.control }

// Close ends the connection and all its streams.
func (c *Conn) Close() error {
	if err := c.session.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.session.CloseChan() }

func newConn(p *Peer, session *yamux.Session) *Conn {
	return &Conn{peer: p, session: session, opened: make(chan struct{}, 1)}
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = writeBound
	cfg.LogOutput = io.Discard
	return cfg
}

// Dial connects to a process and exchanges hellos. Any error means that no
// request has been sent.
func (p *Peer) Dial(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloBound)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w: %w", addr, ErrUnreachable, err)
	}
	session, err := yamux.Client(newCork(raw), sessionConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start session with %s: %w", addr, err), raw.Close())
	}
	c := newConn(p, session)
	if err := c.greet(ctx); err != nil {
		return nil, errors.Join(fmt.Errorf("greet %s: %w: %w", addr, ErrUnreachable, err), session.Close())
	}
	go c.accept(context.WithoutCancel(ctx))
	go c.watch()
	return c, nil
}

// greet exchanges hellos on the first stream.
func (c *Conn) greet(ctx context.Context) error {
	s, err := c.Open()
	if err != nil {
		return err
	}
	if at, ok := ctx.Deadline(); ok {
		if err := s.SetDeadline(at); err != nil {
			return err
		}
	}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: c.peer.self.Hello()}}); err != nil {
		return err
	}
	f, err := s.Recv()
	if err != nil {
		return err
	}
	hello := f.GetHello()
	if hello == nil {
		return fmt.Errorf("wait for hello: %w", ErrUnexpected)
	}
	c.remote.Store(hello)
	c.control = s
	return s.SetDeadline(time.Time{})
}

// Listen serves the connections of a listener until the context ends.
func (p *Peer) Listen(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		raw, err := l.Accept()
		if ctx.Err() != nil {
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
		c := newConn(p, session)
		go c.accept(ctx)
	}
}

// accept serves the streams that the other process opens.
func (c *Conn) accept(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.session.Close() })
	defer stop()
	for {
		raw, err := c.session.AcceptStream()
		if err != nil {
			return
		}
		go c.serve(ctx, c.wrap(raw))
	}
}

func (c *Conn) serve(ctx context.Context, s *Stream) {
	first, err := s.Recv()
	if err != nil {
		_ = s.Close()
		return
	}
	c.peer.handler.Serve(ctx, c, s, first)
}

// Open starts a new stream.
func (c *Conn) Open() (*Stream, error) {
	raw, err := c.session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	select {
	case c.opened <- struct{}{}:
	default:
	}
	return c.wrap(raw), nil
}

func (c *Conn) wrap(raw *yamux.Stream) *Stream {
	c.streams.Add(1)
	return &Stream{conn: c, raw: raw, r: bufio.NewReaderSize(raw, streamBuffer), done: make(chan struct{})}
}

// Stream is one exchange on a connection. Send and Recv may be called from
// different goroutines, each from one at a time.
type Stream struct {
	conn   *Conn
	raw    *yamux.Stream
	r      *bufio.Reader
	closed atomic.Bool
	// background streams do not make their connection busy.
	background atomic.Bool
	done       chan struct{}
}

// Background says that nobody waits for the stream, so that its connection is
// pinged as seldom as an idle one.
func (s *Stream) Background() {
	if !s.background.Swap(true) {
		s.conn.streams.Add(-1)
	}
}

// Send writes one frame, stamped with this process's time and revision.
func (s *Stream) Send(f *wirepb.Frame) error {
	p := s.conn.peer
	f.Hlc = uint64(p.clock.Next(time.Now()))
	f.Revision = p.self.Revision()
	if _, err := protodelim.MarshalTo(s.raw, f); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	return nil
}

// SendAll writes several frames at once.
func (s *Stream) SendAll(frames []*wirepb.Frame) error {
	p := s.conn.peer
	var buf bytes.Buffer
	for _, f := range frames {
		f.Hlc = uint64(p.clock.Next(time.Now()))
		f.Revision = p.self.Revision()
		if _, err := protodelim.MarshalTo(&buf, f); err != nil {
			return fmt.Errorf("encode frame: %w", err)
		}
	}
	if _, err := s.raw.Write(buf.Bytes()); err != nil {
		return fmt.Errorf("send frames: %w", err)
	}
	return nil
}

// RecvData reads the chunks of an answer that have come already, up to about so
// many bytes of them, or else waits for one frame. A frame that is no chunk, or
// the error that ends the stream, is returned behind the chunks before it.
func (s *Stream) RecvData(most int) ([]*wirepb.Data, *wirepb.Frame, error) {
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
		if size >= most || s.r.Buffered() == 0 {
			return chunks, nil, nil
		}
	}
}

// Recv reads one frame. The error is io.EOF when the other end has closed the
// stream between two frames.
func (s *Stream) Recv() (*wirepb.Frame, error) {
	f := &wirepb.Frame{}
	opts := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	if err := opts.UnmarshalFrom(s.r, f); err != nil {
		return nil, fmt.Errorf("receive frame: %w", err)
	}
	s.conn.peer.clock.Observe(event.Stamp(f.GetHlc()))
	return f, nil
}

// SetDeadline bounds all reads and writes; the zero time is no bound.
func (s *Stream) SetDeadline(at time.Time) error {
	if err := s.raw.SetDeadline(at); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// SetReadDeadline bounds reads; the zero time is no bound.
func (s *Stream) SetReadDeadline(at time.Time) error {
	if err := s.raw.SetReadDeadline(at); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return nil
}

// Done is closed when this end has closed the stream.
func (s *Stream) Done() <-chan struct{} { return s.done }

// Close ends the stream in both directions.
func (s *Stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	close(s.done)
	if !s.background.Swap(true) {
		s.conn.streams.Add(-1)
	}
	if err := s.raw.Close(); err != nil {
		return fmt.Errorf("close stream: %w", err)
	}
	return nil
}
