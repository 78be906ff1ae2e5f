// Package hosts is an HTTP client of the platform's list of live and leaving hosts.
package hosts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/io/conns"
)

// ErrUnavailable reports that the host list could not be read.
var ErrUnavailable = errors.New("host list unavailable")

const (
	// DefaultTimeout applies if Options.Timeout is not set.
	DefaultTimeout = time.Second

	// maxListBytes bounds an answer.
	maxListBytes    = 3 << 20
	idleConnTimeout = 30 * time.Second
)

// Options configure a Client. The zero value selects the defaults.
type Options struct {
	// Timeout bounds each call.
	Timeout time.Duration
	// Dial opens connections; nil dials TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client reads the host list from one address. It is safe for concurrent use.
type Client struct {
	url  string
	opts Options
	http *http.Client
}

// New returns a client of the host list at an address, with default options.
func New(addr netip.AddrPort) *Client {
	return NewWithOptions(addr, Options{})
}

// NewWithOptions returns a client of the host list at an address. The first call opens a
// connection.
func NewWithOptions(addr netip.AddrPort, opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: opts.Timeout}).DialContext
	}
	transport := &http.Transport{DialContext: opts.Dial, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: conns.MaxCallHeadBytes}
	return &Client{url: "http://" + addr.String() + "/v1/hosts", opts: opts, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// List returns the host list. The list may lag behind the actual state of the hosts. If it
// fails with ErrUnavailable, it has closed all idle connections, so that the next call
// opens a new one.
func (c *Client) List(ctx context.Context) (fleet.HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	list, err := c.list(ctx)
	if err != nil {
		c.http.CloseIdleConnections()
		return fleet.HostList{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return list, nil
}

func (c *Client) list(ctx context.Context) (fleet.HostList, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return fleet.HostList{}, fmt.Errorf("make request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fleet.HostList{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fleet.HostList{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	text, err := conns.ReadBounded(resp.Body, maxListBytes)
	if err != nil {
		return fleet.HostList{}, fmt.Errorf("read list: %w", err)
	}
	var list fleet.HostList
	if err := json.Unmarshal(text, &list); err != nil {
		return fleet.HostList{}, fmt.Errorf("decode list: %w", err)
	}
	return list, nil
}
