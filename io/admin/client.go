package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/poison"
	"chervilreach/io/conns"
	"chervilreach/io/line"
)

const (
	// maxConcurrentRequests limits the targets that QueryAll queries at the same time.
	maxConcurrentRequests = 64
	// maxAnswerBytes limits the size of a response.
	maxAnswerBytes = 256 << 20
	// maxErrorBytes limits the part of an error response that is included in the
	// returned error.
	maxErrorBytes = 512
)

// ErrNoAnswer means that a process could not be reached or did not respond.
var ErrNoAnswer = errors.New("no answer")

// errNotFound means that a process does not have what was requested.
var errNotFound = errors.New("not found")

// Target is a process with an administration address.
type Target struct {
	// Name is the ID of the host in the platform's list; it is empty if only the address
	// is known.
	Name  string         `json:"name,omitempty"`
	Admin netip.AddrPort `json:"admin"`
}

// String returns the name, if there is one, and the address.
func (t Target) String() string {
	if t.Name == "" {
		return t.Admin.String()
	}
	return t.Name + " (" + t.Admin.String() + ")"
}

// Answer is the result of asking a target. If Err is not nil, Value is not valid.
type Answer[T any] struct {
	Target Target
	Value  T
	Err    error
}

// QueryAll calls query for all targets, up to maxConcurrentRequests at the same time, each
// with a context that ends after timeout. It returns the answers in the order of the
// targets.
func QueryAll[T any](ctx context.Context, targets []Target, timeout time.Duration, query func(context.Context, Target) (T, error)) []Answer[T] {
	answers := make([]Answer[T], len(targets))
	slots := make(chan struct{}, maxConcurrentRequests)
	var wg sync.WaitGroup
	for i, target := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			value, err := query(ctx, target)
			answers[i] = Answer[T]{Target: target, Value: value, Err: err}
		})
	}
	wg.Wait()
	return answers
}

// Client sends requests to the administration addresses of processes. It is safe for
// concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that connects to the addresses directly, without a proxy,
// and closes each connection after its response.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: conns.MaxCallHeadBytes}}}
}

// Targets returns the targets for the hosts in the list that have an administration
// address.
func Targets(list fleet.HostList) []Target {
	targets := make([]Target, 0, len(list.Hosts))
	for _, host := range list.Hosts {
		if host.AdminAddr.IsValid() {
			targets = append(targets, Target{Name: string(host.ID), Admin: host.AdminAddr})
		}
	}
	return targets
}

// Status requests the status of a process.
func (c *Client) Status(ctx context.Context, t Target) (Status, error) {
	status, err := getJSON[Status](ctx, c, t.Admin, PathStatus)
	if err != nil {
		return Status{}, fmt.Errorf("%s: %w", t, err)
	}
	return status, nil
}

// Acquit lifts the conviction of a prompt part. It returns an error that wraps
// poison.ErrNotConvicted if the process knows of none.
func (c *Client) Acquit(ctx context.Context, t Target, part poison.Part) error {
	path := PathAcquit + "?" + url.Values{"part": {part.String()}}.Encode()
	response, err := c.send(ctx, http.MethodPost, t.Admin, path)
	if errors.Is(err, errNotFound) {
		err = poison.ErrNotConvicted
	}
	if err != nil {
		return fmt.Errorf("%s: %w", t, err)
	}
	if err := response.Body.Close(); err != nil {
		return fmt.Errorf("%s: close answer: %w", t, err)
	}
	return nil
}

// Timeline contains the lines of the timeline that one process returned.
type Timeline struct {
	Process fleet.ProcessID
	Lines   []event.Line
	// Stamp is greater than the stamps of all lines that the process had recorded before
	// its response.
	Stamp event.Stamp
	// DroppedLines is the number of older lines that the process has discarded and that the
	// filter could have matched.
	DroppedLines uint64
}

// Timeline requests the lines that match the filter. If a line is malformed, it returns
// an error with the process and the number of the line.
func (c *Client) Timeline(ctx context.Context, t Target, f line.Filter) (Timeline, error) {
	response, err := c.get(ctx, t.Admin, PathTimeline+"?"+query(f).Encode())
	if err != nil {
		return Timeline{}, fmt.Errorf("%s: %w", t, err)
	}
	defer func() { _ = response.Body.Close() }()
	lines, err := line.Read(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Timeline{}, fmt.Errorf("%s: time line: %w", t, err)
	}
	header := response.Header
	stamp, stampErr := strconv.ParseUint(header.Get(HeaderStamp), 10, 64)
	dropped, droppedErr := strconv.ParseUint(header.Get(HeaderDropped), 10, 64)
	if err := errors.Join(stampErr, droppedErr); err != nil {
		return Timeline{}, fmt.Errorf("%s: time line headers: %w", t, err)
	}
	return Timeline{
		Process:      fleet.ProcessID(header.Get(HeaderProcess)),
		Lines:        lines,
		Stamp:        event.Stamp(stamp),
		DroppedLines: dropped,
	}, nil
}

// query returns the query parameters for the filter; see timelineInput.
func query(f line.Filter) url.Values {
	values := make(url.Values)
	set := func(key, value string) {
		if value != "" {
			values.Set(key, value)
		}
	}
	set("request", string(f.Request))
	set("model", string(f.Model))
	set("endpoint", string(f.Endpoint))
	if !f.Since.IsZero() {
		set("since", f.Since.Format(time.RFC3339Nano))
	}
	if !f.Until.IsZero() {
		set("until", f.Until.Format(time.RFC3339Nano))
	}
	set("all", strconv.FormatBool(f.IncludeRoutine))
	set("max-body", strconv.Itoa(f.MaxBodyBytes))
	set("limit", strconv.Itoa(f.MaxLines))
	return values
}

// getJSON requests a path and decodes the JSON response.
func getJSON[T any](ctx context.Context, c *Client, addr netip.AddrPort, path string) (T, error) {
	var value T
	response, err := c.get(ctx, addr, path)
	if err != nil {
		return value, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&value); err != nil {
		return value, fmt.Errorf("read answer to GET %s: %w", path, err)
	}
	return value, nil
}

// get requests a path and returns the response if its status is 200, otherwise an error.
// The caller must close the body.
func (c *Client) get(ctx context.Context, addr netip.AddrPort, path string) (*http.Response, error) {
	return c.send(ctx, http.MethodGet, addr, path)
}

// send sends a request without a body and returns the response if its status is 200, otherwise an
// error. The caller must close the body.
func (c *Client) send(ctx context.Context, method string, addr netip.AddrPort, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		err := fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, body)
		if response.StatusCode == http.StatusNotFound {
			err = fmt.Errorf("%w: %w", errNotFound, err)
		}
		return nil, err
	}
	return response, nil
}
