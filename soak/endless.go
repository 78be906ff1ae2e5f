package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"
)

const (
	// maxProcessMB is the most memory that a process may ever have had, in MB.
	maxProcessMB = 128
	// dribblePause is the pause between two writes of an answer that comes in dribbles, dribbleBytes the
	// size of each.
	dribblePause = time.Millisecond
	dribbleBytes = 16
)

// endlessForm is the form of an answer without end: more is repeated after start.
type endlessForm struct {
	start, more string
	dribbles    bool
}

// endlessForms are the forms of answers without end.
var endlessForms = []endlessForm{
	{more: strings.Repeat("x", 4096)},
	{start: "HTTP/1.1 200 OK\r\n", more: shortHeaderLines(1 << 14)},
	{start: "HTTP/1.1 200 OK\r\n", more: shortHeaderLines(1 << 14), dribbles: true},
	{start: "HTTP/1.1 200 OK\r\nX-A: ", more: strings.Repeat("x", 4096)},
	{more: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
	{start: "HTTP/1.1 200 OK\r\n\r\n", more: strings.Repeat("x", 4096)},
	{start: "HTTP/1.1 500 X\r\n\r\n", more: strings.Repeat("x", 4096), dribbles: true},
	{start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", more: shortHeaderLines(1 << 14)},
}

// shortHeaderLines returns n header lines of a few bytes with different names.
func shortHeaderLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	return b.String()
}

// answerEndlessly reads the beginning of a request and writes an answer until the mode changes or the
// connection is closed.
func (p *proxy) answerEndlessly(client net.Conn) {
	p.track(client)
	defer p.untrack(client)
	if _, err := client.Read(make([]byte, 1<<10)); err != nil {
		return
	}
	form := endlessForms[rand.IntN(len(endlessForms))]
	part := []byte(form.start + form.more)
	for p.currentMode() == Endless {
		n := len(part)
		if form.dribbles {
			n = min(n, dribbleBytes)
			time.Sleep(dribblePause)
		}
		if _, err := client.Write(part[:n]); err != nil {
			return
		}
		if part = part[n:]; len(part) == 0 {
			part = []byte(form.more)
		}
	}
}

// answerWithoutEnd has the link of a replica to routers, or to its agent, answer without end, again and
// again.
func (h *harness) answerWithoutEnd(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, faultDuration(rnd))
		h.injectOne(ctx, fault{"answers without end", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
			r := pick(rnd, h.fleet.replicas)
			if rnd.IntN(2) == 0 {
				r.agentLink.setMode(Endless)
				sleep(ctx, faultDuration(rnd))
				r.agentLink.setMode(Pass)
				return nil
			}
			r.breakLink(ctx, Endless, faultDuration(rnd))
			return nil
		}}, rnd)
	}
}

// checkMemory reports a violation for each process that has had more than maxProcessMB since its last
// start.
func (h *harness) checkMemory() {
	for _, p := range append(append([]*process{}, h.fleet.routers...), h.fleet.agents...) {
		p.mu.Lock()
		pid := p.cmd.Process.Pid
		p.mu.Unlock()
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			// It has ended, which another check reports.
			continue
		}
		if mb := peakMB(text); mb > maxProcessMB {
			h.addViolation("%s had %d MB of memory, at most %d allowed", p.name, mb, maxProcessMB)
		}
	}
}

// peakMB returns the peak of the resident memory in the status of a process, in MB; 0 if it has none.
func peakMB(status []byte) int {
	s := bufio.NewScanner(bytes.NewReader(status))
	for s.Scan() {
		var kb int
		if n, _ := fmt.Sscanf(s.Text(), "VmHWM: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}
