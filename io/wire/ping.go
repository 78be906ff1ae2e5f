package wire

import "time"

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
	// idlePingInterval is the time between pings of a connection without active streams.
	idlePingInterval = 2 * time.Second
)

// pingLoop pings the other process of a dialed connection. When a ping fails, it closes the
// connection and all its streams. It returns when the connection is closed.
func (c *Conn) pingLoop() {
	timer := time.NewTimer(idlePingInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.session.CloseChan():
			return
		case <-c.streamOpened:
			// The other process may have failed unnoticed while the connection was idle, so
			// the next ping must not wait for idlePingInterval.
			timer.Reset(busyPingInterval)
			<-timer.C
		case <-timer.C:
		}
		if !c.ping() {
			_ = c.session.Close()
			return
		}
		timer.Reset(c.pingInterval())
	}
}

// controlStreamCount is the number of control streams of a connection. An idle connection has no
// other active stream.
const controlStreamCount = 1

// pingInterval returns the time until the next ping.
func (c *Conn) pingInterval() time.Duration {
	if c.activeStreams.Load() > controlStreamCount {
		return busyPingInterval
	}
	return idlePingInterval
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
