package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// served counts the requests of all clients that were answered with 200.
var served atomic.Int64

// outcome is what a client saw of one request.
type outcome struct {
	id             string
	sent, ended    time.Time
	status         int
	seal, body     string
	retryAfter     string
	err            error
	connectionGone bool
}

// client is a connection of a client to a router.
type client struct {
	addr string
	conn net.Conn
	br   *bufio.Reader
}

// request is what a client sends.
type request struct {
	method, path, id, body string
	deadline               time.Duration
	headers                []string
}

func (q request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: calls.example\r\nX-Chervilreach-Attempt-Id: %s\r\nX-Chervilreach-Deadline-Ms: %d\r\n",
		q.method, q.path, q.id, q.deadline.Milliseconds())
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// dial connects to an address.
func dial(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(context.Background(), "tcp", addr)
}

// listen listens at an address.
func listen(addr string) (net.Listener, error) {
	var l net.ListenConfig
	return l.Listen(context.Background(), "tcp", addr)
}

// do sends a request on the connection, which it opens if there is none, and reads the answer.
func (c *client) do(q request) outcome {
	o := outcome{id: q.id, sent: time.Now()}
	defer func() {
		if o.connectionGone {
			c.close()
		}
	}()
	if c.conn == nil {
		conn, err := dial(c.addr)
		if err != nil {
			o.ended, o.err, o.connectionGone = time.Now(), err, true
			return o
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	_, err := io.WriteString(c.conn, q.text())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: q.method})
	}
	if err == nil {
		o.status, o.seal, o.retryAfter = resp.StatusCode, resp.Header.Get("X-Chervilreach-Response-Seal"), resp.Header.Get("Retry-After")
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.body = string(data)
		o.connectionGone = resp.Close
		if err == nil && o.status == http.StatusOK {
			served.Add(1)
		}
	}
	o.ended, o.err = time.Now(), err
	o.connectionGone = o.connectionGone || err != nil
	return o
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
