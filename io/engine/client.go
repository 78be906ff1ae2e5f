package engine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/io/conns"
)

// Defaults and limits of a Client.
const (
	// The Default constants apply to the fields of Options that are not set.
	DefaultTimeout      = time.Second
	DefaultIdleTimeout  = 2 * time.Second
	DefaultTotalTimeout = 10 * time.Minute
	DefaultMaxBodyBytes = 16 << 20
	// maxControlBytes bounds the body of an answer that is neither a result nor a KV cache. A
	// state lists at most some hundred models.
	maxControlBytes = 1 << 20

	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 256
	readBufferBytes = 16 << 10
	maxErrorBytes   = 4 << 10
)

// DialFunc opens a connection and has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Options configure a Client. The zero value selects the defaults.
type Options struct {
	// Timeout bounds dialing and short calls such as State and Cancel.
	Timeout time.Duration
	// IdleTimeout is how long Stream.Next and CacheEvents wait for data from the
	// engine, and Order for its answer to one attempt.
	IdleTimeout time.Duration
	// TotalTimeout bounds the duration of a stream, an order or a KV cache transfer.
	TotalTimeout time.Duration
	// MaxBodyBytes bounds the body of an answer, and each event of a stream.
	MaxBodyBytes int
	// Dial opens connections; nil dials TCP.
	Dial DialFunc
}

// Client is a client of one engine. It is safe for concurrent use.
type Client struct {
	base string
	opts Options
	// pooled reuses connections; unpooled opens one for each request.
	pooled   *http.Client
	unpooled *http.Client
}

// New returns a client of the engine at an address, with default options. The first
// call opens a connection.
func New(addr netip.AddrPort) *Client {
	return NewWithOptions(addr, Options{})
}

// NewWithOptions returns a client of the engine at an address.
func NewWithOptions(addr netip.AddrPort, opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = DefaultIdleTimeout
	}
	if opts.TotalTimeout <= 0 {
		opts.TotalTimeout = DefaultTotalTimeout
	}
	if opts.MaxBodyBytes <= 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: opts.Timeout}).DialContext
	}
	pooled := &http.Transport{
		DialContext:         opts.Dial,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,

		MaxResponseHeaderBytes: conns.MaxCallHeadBytes,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{
		base:     "http://" + addr.String(),
		opts:     opts,
		pooled:   &http.Client{Transport: pooled},
		unpooled: &http.Client{Transport: unpooled},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// Order sends an order to the engine and returns its outcome. Orders are idempotent, as
// the engine recognizes their IDs: if there is no answer within Options.IdleTimeout,
// Order sends the order again on a new connection. It does not do so if this process
// was stalled meanwhile, as a successor may have taken over. If no valid answer is
// received, it returns OutcomeUnknown and ErrResponseLost. If the order was never sent, it
// returns OutcomeFailed and ErrUnreachable.
func (c *Client) Order(ctx context.Context, order fleet.Order) (fleet.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.TotalTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return fleet.OutcomeFailed, fmt.Errorf("encode order %s: %w", order.ID, err)
	}
	for anySent := false; ; {
		began := time.Now()
		result, sent, err := c.order(ctx, body)
		anySent = anySent || sent
		stalled := time.Since(began) > 2*c.opts.IdleTimeout
		switch {
		case err == nil:
			return result.Outcome, nil
		case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil && sent && !stalled:
			continue
		case anySent:
			return fleet.OutcomeUnknown, fmt.Errorf("order %s: %w: %w", order.ID, ErrResponseLost, err)
		default:
			return fleet.OutcomeFailed, fmt.Errorf("order %s: %w: %w", order.ID, ErrUnreachable, err)
		}
	}
}

// order sends an order once and waits up to Options.IdleTimeout for the answer. sent
// reports whether the engine may have received the order.
func (c *Client) order(ctx context.Context, body []byte) (result OrderResult, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.IdleTimeout)
	defer cancel()
	header := http.Header{"Content-Type": {"application/json"}}
	answer, sent, err := c.call(ctx, httpRequest{method: http.MethodPost, path: PathOrders, header: header, body: body, unpooled: true})
	if err != nil {
		return OrderResult{}, sent, err
	}
	if err := json.Unmarshal(answer, &result); err != nil {
		return OrderResult{}, true, fmt.Errorf("decode answer: %w", err)
	}
	return result, true, nil
}

// State returns what the engine reports about its models, adapters and memory. The
// report may lag behind the actual state.
func (c *Client) State(ctx context.Context) (fleet.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	answer, _, err := c.call(ctx, httpRequest{method: http.MethodGet, path: PathState})
	if err != nil {
		return fleet.EngineState{}, fmt.Errorf("engine state: %w", err)
	}
	var state fleet.EngineState
	if err := json.Unmarshal(answer, &state); err != nil {
		return fleet.EngineState{}, fmt.Errorf("decode engine state: %w", err)
	}
	return state, nil
}

// Cancel makes the engine stop a running request. It fails with ErrUnknownStream if the
// engine does not know the request.
func (c *Client) Cancel(ctx context.Context, id fleet.RequestID) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	if _, _, err := c.call(ctx, httpRequest{method: http.MethodDelete, path: PathStreams + url.PathEscape(string(id))}); err != nil {
		return fmt.Errorf("cancel %s: %w", id, mapNotFound(err))
	}
	return nil
}

// ExportKVCache returns the KV cache of a request, for ImportKVCache by another engine. It fails with
// ErrUnknownStream if the engine does not know the request.
func (c *Client) ExportKVCache(ctx context.Context, id fleet.RequestID) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.TotalTimeout)
	defer cancel()
	cache, _, err := c.call(ctx, httpRequest{
		method: http.MethodGet, path: PathKVCache + url.PathEscape(string(id)), maxAnswerBytes: c.opts.MaxBodyBytes,
	})
	if err != nil {
		return nil, fmt.Errorf("export %s: %w", id, mapNotFound(err))
	}
	return cache, nil
}

// ImportKVCache transfers the KV cache of a request, as returned by ExportKVCache, to the engine. The
// engine continues the request from there, and Resume reads its stream. Import fails
// with ErrUnreachable if nothing was sent, and with ErrResponseLost otherwise.
func (c *Client) ImportKVCache(ctx context.Context, id fleet.RequestID, cache []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.TotalTimeout)
	defer cancel()
	msg := httpRequest{method: http.MethodPost, path: PathKVCache + url.PathEscape(string(id)), body: cache, unpooled: true}
	if _, sent, err := c.call(ctx, msg); err != nil {
		return fmt.Errorf("import %s: %w", id, classifyFailure(sent, err))
	}
	return nil
}

// httpRequest is an HTTP request to the engine.
type httpRequest struct {
	// id is sent as the request ID if it is not empty. An answer with another request
	// ID is then rejected.
	id     fleet.RequestID
	method string
	path   string
	header http.Header
	body   []byte
	// unpooled is set if the request must use a new connection. If that cannot be opened, it
	// is certain that nothing was sent.
	unpooled bool
	// maxAnswerBytes bounds the body that call reads; 0 stands for maxControlBytes.
	maxAnswerBytes int
}

// call sends a request and returns the body of the answer. Errors are those of do, and
// ErrTooLarge. sent reports whether the engine may have received the request, also if
// there is an error.
func (c *Client) call(ctx context.Context, msg httpRequest) (answer []byte, sent bool, err error) {
	resp, sent, err := c.do(ctx, msg)
	if err != nil {
		return nil, sent, err
	}
	defer closeBody(resp)
	answer, err = readAll(resp.Body, cmp.Or(msg.maxAnswerBytes, maxControlBytes))
	if err != nil {
		return nil, true, fmt.Errorf("read answer: %w", err)
	}
	return answer, true, nil
}

// do sends a request and returns the answer with its body unread. An answer with status
// 300 or above is a StatusError. sent reports whether the engine may have received the
// request, also if there is an error.
func (c *Client) do(ctx context.Context, msg httpRequest) (resp *http.Response, sent bool, err error) {
	resp, sent, err = c.send(ctx, msg)
	if err != nil {
		return nil, sent, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		closeBody(resp)
		return nil, true, &StatusError{Status: resp.StatusCode, Text: string(text)}
	}
	return resp, true, nil
}

// send sends a request and returns the answer, whatever its status, with its body
// unread. sent reports whether the engine may have received the request, also if there
// is an error. If there is no answer, send closes all idle connections,
// as they may have failed too. It fails with ErrWrongResponse if the answer has another
// request ID.
func (c *Client) send(ctx context.Context, msg httpRequest) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		// The transport asks for a second connection for a POST only if it has written
		// nothing on the first.
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, msg.method, c.base+msg.path, bytes.NewReader(msg.body))
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
	}
	if msg.header != nil {
		req.Header = msg.header
	}
	if msg.id != "" {
		req.Header.Set(HeaderRequestID, string(msg.id))
	}
	client := c.pooled
	if msg.unpooled {
		client = c.unpooled
	}
	resp, err = client.Do(req)
	if err != nil {
		c.pooled.CloseIdleConnections()
		return nil, connected.Load(), unexpectedEOF(err)
	}
	if !conns.IsFinalStatus(resp.StatusCode) {
		closeBody(resp)
		return nil, true, fmt.Errorf("status %d: %w", resp.StatusCode, conns.ErrBadStatus)
	}
	if id := resp.Header.Get(HeaderRequestID); id != "" && msg.id != "" && id != string(msg.id) {
		closeBody(resp)
		return nil, true, fmt.Errorf("%w: got that of %s", ErrWrongResponse, id)
	}
	return resp, true, nil
}

// classifyFailure adds ErrResponseLost to the error of a request that was sent and may
// have been executed, and ErrUnreachable to that of a request that was never sent.
func classifyFailure(sent bool, err error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrResponseLost, err)
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, err)
}

// requestHeader returns the HTTP header of a call.
func requestHeader(req Request) http.Header {
	header := http.Header{}
	header.Set(HeaderPriority, strconv.Itoa(req.Priority))
	if req.ContentType != "" {
		header.Set("Content-Type", req.ContentType)
	}
	if req.Target.Model != "" {
		header.Set(HeaderModel, string(req.Target.Model))
	}
	if req.Target.Adapter != "" {
		header.Set(HeaderAdapter, string(req.Target.Adapter))
	}
	if req.Target.Service != "" {
		header.Set(HeaderService, string(req.Target.Service))
	}
	return header
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Text)
}

// Is reports whether target is ErrStatus.
func (e *StatusError) Is(target error) bool { return target == ErrStatus }

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, so that a broken connection is
// not mistaken for the end of an answer, for which Stream.Next returns io.EOF. It returns
// other errors unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, err.Error())
	}
	return err
}

// closeBody closes the body of an answer whose unread part is not needed.
func closeBody(resp *http.Response) {
	_ = resp.Body.Close()
}

// readAll reads a body. It fails with ErrTooLarge if the body exceeds limit bytes.
func readAll(r io.Reader, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if len(body) > limit {
		return nil, ErrTooLarge
	}
	return body, nil
}
