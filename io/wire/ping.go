package wire

import (
	"net"
	"time"
)

// Timeouts and intervals of pings.
const (
	// pingTimeout is the time after which a ping without a response has failed.
	pingTimeout = 200 * time.Millisecond
	// maxTimerDelay is how late pingTimeout may be noticed before this process is assumed to
	// have been stalled, for example by a lack of processor time.
	maxTimerDelay = 50 * time.Millisecond
	// maxPingWaits is the maximum number of times that pingTimeout is waited for if this
	// process is stalled each time.
	maxPingWaits = 3
	// busyPingInterval is the time between pings of a connection with active streams.
	busyPingInterval = 100 * time.Millisecond
	// idlePingInterval is the time between pings of a connection without active streams, and
	// idlePingsPerSecond the number of these pings on all connections together: of many
	// connections, each is pinged less often. Keepalive probes find a lost host meanwhile.
	idlePingInterval   = 2 * time.Second
	idlePingsPerSecond = 20
	// maxSkippedPings is the number of idle pings in a row that are left out because data has
	// arrived. Data may arrive although nothing gets through the other way.
	maxSkippedPings = 4
)

// keepAlive has the kernel find the loss of a host within about 4 s, at no cost to the process.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// pingLoop pings the other process of a dialed connection. When a ping fails, it closes the
// connection and all its streams. It returns when the connection is closed.
func (c *Conn) pingLoop() {
	c.transport.connCount.Add(1)
	defer c.transport.connCount.Add(-1)
	timer := time.NewTimer(c.pingInterval())
	defer timer.Stop()
	skipped := 0
	for {
		interval := c.pingInterval()
		select {
		case <-c.session.CloseChan():
			return
		case <-c.streamOpened:
			// The other process may have failed unnoticed while the connection was idle, so
			// the next ping must not wait for idlePingInterval.
			timer.Reset(busyPingInterval)
			<-timer.C
			skipped = maxSkippedPings
		case <-timer.C:
		}
		if silence := time.Since(c.lastReadAt()); c.idle() && maySkipPing(silence, interval, skipped) {
			skipped++
			timer.Reset(interval - silence)
			continue
		}
		skipped = 0
		if !c.ping() {
			_ = c.session.Close()
			return
		}
		timer.Reset(c.pingInterval())
	}
}

// maySkipPing reports whether a ping of an idle connection is needless because data has arrived
// within the interval between pings. silence is the time since then, skipped the number of pings
// in a row that have been left out.
func maySkipPing(silence, interval time.Duration, skipped int) bool {
	return silence < interval && skipped < maxSkippedPings
}

// controlStreamCount is the number of control streams of a connection. An idle connection has no
// other active stream.
const controlStreamCount = 1

// idle reports whether no request depends on the connection.
func (c *Conn) idle() bool { return c.activeStreams.Load() <= controlStreamCount }

// pingInterval returns the time until the next ping.
func (c *Conn) pingInterval() time.Duration {
	if !c.idle() {
		return busyPingInterval
	}
	return max(idlePingInterval, time.Duration(c.transport.connCount.Load())*time.Second/idlePingsPerSecond)
}

// ping sends a ping and reports whether the other process responded in time.
func (c *Conn) ping() bool {
	result := make(chan error, 1)
	go func() {
		_, err := c.session.Ping()
		result <- err
	}()
	return awaitPong(result, time.Now, c.lastReadAt)
}

// awaitPong waits for the result of a ping and reports whether it is nil and arrives within
// pingTimeout. If the timeout is noticed late, this process was stalled and may not have read
// the response yet, so it waits again, up to maxPingWaits times in total. It also waits on while data
// arrives: the response then stands behind a large frame on a slow link.
func awaitPong(result <-chan error, now, lastReadAt func() time.Time) bool {
	for waits := 0; waits < maxPingWaits; {
		startedAt := now()
		deadline := startedAt.Add(pingTimeout)
		timer := time.NewTimer(pingTimeout)
		select {
		case err := <-result:
			timer.Stop()
			return err == nil
		case <-timer.C:
		}
		select {
		case err := <-result:
			return err == nil
		default:
		}
		if lastReadAt().After(startedAt) {
			continue
		}
		if now().Before(deadline.Add(maxTimerDelay)) {
			return false
		}
		waits++
	}
	return false
}
