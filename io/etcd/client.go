package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"chervilreach/core/fleet"
	"chervilreach/io/conns"
)

// Defaults and limits of a Client.
const (
	// DefaultTimeout and DefaultWatchIdleTimeout apply if Options sets no timeouts.
	DefaultTimeout          = time.Second
	DefaultWatchIdleTimeout = 10 * time.Second
	idleConnTimeout         = 30 * time.Second
	maxIdleConns            = 16
	maxResponseBytes        = 64 << 20
	maxErrorBytes           = 4 << 10
)

// DialFunc opens a connection and has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Options configure a Client. The zero value selects the defaults.
type Options struct {
	// Timeout bounds each call except Watch. It defaults to DefaultTimeout.
	Timeout time.Duration
	// WatchIdleTimeout is how long Watch waits for a message, including progress
	// notifications, before it fails. It defaults to DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
	// Registry receives the counters of calls; nil publishes none.
	Registry metrics.Registry
	// Dial opens connections; nil dials TCP.
	Dial DialFunc
}

// Client is a client of the key-value service, which it reaches through any one of
// several addresses. It is safe for concurrent use.
type Client struct {
	addrs []netip.AddrPort
	// addrCounter, modulo the number of addresses, is the index of the address to use. It is
	// incremented after a failure.
	addrCounter atomic.Uint64
	opts        Options
	http        *http.Client
	counts      counters
}

// New returns a client of the service at the given addresses, of which there must be
// at least one. The first call opens a connection.
func New(addrs []netip.AddrPort, opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.WatchIdleTimeout <= 0 {
		opts.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: opts.Timeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         opts.Dial,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,

		MaxResponseHeaderBytes: conns.MaxCallHeadBytes,
	}
	return &Client{
		addrs:  addrs,
		opts:   opts,
		http:   &http.Client{Transport: transport},
		counts: newCounters(opts.Registry),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get reads a key. The read is linearizable. It fails with ErrNotFound if the key
// does not exist, and with ErrUnavailable or ErrRejected.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var resp RangeResponse
	if err := c.read(ctx, "/v3/kv/range", c.counts.reads, RangeRequest{Key: []byte(key)}, &resp); err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	if len(resp.KVs) == 0 {
		return Entry{}, fmt.Errorf("get %s: %w", key, ErrNotFound)
	}
	return resp.KVs[0].entry(), nil
}

// List reads all keys under a prefix, in order. It also returns the revision
// of the service at the read. It fails with ErrUnavailable or ErrRejected.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, fleet.Revision, error) {
	var resp RangeResponse
	req := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	if err := c.read(ctx, "/v3/kv/range", c.counts.reads, req, &resp); err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	entries := make([]Entry, 0, len(resp.KVs))
	for _, kv := range resp.KVs {
		entries = append(entries, kv.entry())
	}
	return entries, fleet.Revision(resp.Header.Revision), nil
}

// Write applies all puts in one transaction, provided that each key has the revision
// that its put expects, and returns the revision of the transaction. It fails with
// ErrConflict if a key has another revision, with ErrUnavailable if nothing was sent,
// with ErrRejected if the service refused the request, and with ErrLeaseNotFound if a
// lease does not exist; nothing is written then. It fails with ErrOutcomeUnknown if
// the request was sent and no answer was received.
func (c *Client) Write(ctx context.Context, puts []Put) (fleet.Revision, error) {
	var resp TxnResponse
	if err := c.call(ctx, "/v3/kv/txn", c.counts.writes, newTxn(puts), &resp); err != nil {
		return 0, fmt.Errorf("write: %w", err)
	}
	if !resp.Succeeded {
		return 0, fmt.Errorf("write: %w", ErrConflict)
	}
	return fleet.Revision(resp.Header.Revision), nil
}

// newTxn returns the transaction that applies the puts.
func newTxn(puts []Put) TxnRequest {
	var txn TxnRequest
	for _, put := range puts {
		key := []byte(put.Key)
		txn.Compare = append(txn.Compare, Compare{
			Key: key, Target: TargetMod, Result: ResultEqual, ModRevision: int64(put.ExpectRevision),
		})
		op := RequestOp{Put: &PutRequest{Key: key, Value: put.Value, Lease: int64(put.Lease)}}
		if put.Delete {
			op = RequestOp{Delete: &DeleteRequest{Key: key}}
		}
		txn.Success = append(txn.Success, op)
	}
	return txn
}

// read makes a call that is safe to repeat, so that a lost answer is reported as
// ErrUnavailable and not as ErrOutcomeUnknown.
func (c *Client) read(ctx context.Context, path string, count metrics.Counter, req, resp any) error {
	err := c.call(ctx, path, count, req, resp)
	if errors.Is(err, ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %w", ErrUnavailable, errors.Unwrap(err))
	}
	return err
}

// call posts a request and decodes the answer into resp. It tries the addresses in
// turn, but tries no further address once a request may have been sent.
func (c *Client) call(ctx context.Context, path string, count metrics.Counter, req, resp any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	count.Inc(1)
	first := c.addrCounter.Load()
	for i := range c.addrs {
		addr := c.addrs[(first+uint64(i))%uint64(len(c.addrs))]
		var sent bool
		sent, err = c.post(ctx, addr, path, body, resp)
		if err == nil {
			return nil
		}
		c.failOver(first + uint64(i))
		if kind := failureKind(sent, err); kind != nil {
			return &callError{kind: kind, cause: err}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &callError{kind: ErrUnavailable, cause: err}
}

// failureKind returns the sentinel error that classifies a failed attempt, or nil if
// nothing was sent.
func failureKind(sent bool, err error) error {
	var status *StatusError
	switch {
	case !sent:
		return nil
	case errors.As(err, &status) && status.isLeaseNotFound():
		return ErrLeaseNotFound
	case errors.As(err, &status) && status.isRejected():
		return ErrRejected
	default:
		return ErrOutcomeUnknown
	}
}

// failOver records a failed attempt and makes the next call use the next address and
// none of the idle connections. used is the value of c.next for the attempt; the
// address stays if another call has already changed it.
func (c *Client) failOver(used uint64) {
	c.counts.failed.Inc(1)
	c.addrCounter.CompareAndSwap(used, used+1)
	c.http.CloseIdleConnections()
}

// post makes one attempt and decodes the answer into dst. sent reports whether the
// service may have received the request, also if there is an error.
func (c *Client) post(ctx context.Context, addr netip.AddrPort, path string, body []byte, dst any) (sent bool, err error) {
	resp, sent, err := c.open(ctx, addr, path, body)
	if err != nil {
		return sent, err
	}
	defer closeBody(resp)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(dst); err != nil {
		return true, fmt.Errorf("read answer of %s: %w", addr, err)
	}
	// The connection is reused only if the body has been read to its end.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	return true, nil
}

// open sends a request and returns the answer with its body unread. Any status other
// than 200 is a StatusError. sent reports whether the service may have received the
// request, also if there is an error.
func (c *Client) open(ctx context.Context, addr netip.AddrPort, path string, body []byte) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		// The transport asks for a second connection for a POST only if it has written
		// nothing on the first.
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + addr.String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err = c.http.Do(req)
	if err != nil {
		return nil, connected.Load(), err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		closeBody(resp)
		return nil, true, &StatusError{Status: resp.StatusCode, Text: string(text)}
	}
	return resp, true, nil
}

// closeBody closes the body of an answer whose unread part is not needed, so that an
// error does not matter.
func closeBody(resp *http.Response) {
	_ = resp.Body.Close()
}

// StatusError is an answer of the service with a status other than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Text is the body of the answer, truncated to 4 KiB.
	Text string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Text)
}

// isRejected reports whether the service refused the request because of its content,
// so that it had no effect.
func (e *StatusError) isRejected() bool {
	return e.Status == http.StatusBadRequest || e.Status == http.StatusNotFound
}

// isLeaseNotFound reports whether the service refused the request because a lease does not
// exist.
func (e *StatusError) isLeaseNotFound() bool {
	return e.isRejected() && strings.Contains(e.Text, leaseNotFound)
}

// leaseNotFound is contained in the service's error message for an unknown lease.
const leaseNotFound = "lease not found"

// callError is a failed call: kind is the sentinel error that classifies it, and cause
// the error of the last attempt.
type callError struct {
	kind  error
	cause error
}

// Error implements error.
func (e *callError) Error() string { return fmt.Sprintf("%v: %v", e.kind, e.cause) }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// Is reports whether target is the kind of e.
func (e *callError) Is(target error) bool { return target == e.kind }
