package wire

import "time"

// Bounds of pings.
const (
	// pingBound is how long a connection in use may leave a ping unanswered.
	pingBound = 200 * time.Millisecond
	// heldUp is how late a timer may be before the process counts as held up, and
	// pingTries how often a ping's bound is given then.
	heldUp    = 50 * time.Millisecond
	pingTries = 3
	// pingBusy and pingIdle are the times between pings of a connection with
	// and without open streams.
	pingBusy = 100 * time.Millisecond
	pingIdle = 2 * time.Second
)

// watch pings the other process and closes the connection when it falls
// silent, so that every stream on it ends.
func (c *Conn) watch() {
	timer := time.NewTimer(pingIdle)
	defer timer.Stop()
	for {
		select {
		case <-c.session.CloseChan():
			return
		case <-c.opened:
			// An idle connection may have gone silent long ago.
			timer.Reset(pingBusy)
			<-timer.C
		case <-timer.C:
		}
		if !c.ping() {
			_ = c.session.Close()
			return
		}
		timer.Reset(c.pause())
	}
}

// idleStreams is how many streams an idle connection has: the control stream.
const idleStreams = 1

func (c *Conn) pause() time.Duration {
	if c.streams.Load() > idleStreams {
		return pingBusy
	}
	return pingIdle
}

func (c *Conn) ping() bool {
	result := make(chan error, 1)
	go func() {
		_, err := c.session.Ping()
		result <- err
	}()
	return answered(result, time.Now)
}

// answered waits for the answer to a ping. A bound that is noticed late tells of
// a process that was held up, not of a silent peer, and is given once more.
func answered(result <-chan error, now func() time.Time) bool {
	for range pingTries {
		until := now().Add(pingBound)
		timer := time.NewTimer(pingBound)
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
		if now().Before(until.Add(heldUp)) {
			return false
		}
	}
	return false
}
