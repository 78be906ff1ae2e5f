package mirror

import (
	"context"
	"errors"
	"time"
)

// hedgeTimeout bounds each hedged call. It is also the interval at which hedged
// calls start, so that at most one of them is in flight.
const hedgeTimeout = time.Second

// hedge runs call and returns the first result that succeeds or wraps
// ErrCompacted, or the last error once no call is in flight. If there is no
// result within delay, it starts further calls while the first stays in flight,
// as a connection may hang forever while new ones work. hedged is true for
// these further calls. hedge returns errRefresh as soon as refresh delivers a
// request, and errTimeout if there is no result within delay and hedgeWindow together.
func hedge[T any](
	ctx context.Context, m *Mirror, delay time.Duration, refresh <-chan struct{},
	call func(ctx context.Context, hedged bool) (T, error),
) (T, error) {
	type answer struct {
		value T
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, delay+hedgeWindow)
	defer cancel()
	answers := make(chan answer)
	inFlight := 0
	bounded := func(hedged bool) (T, error) {
		if !hedged {
			return call(ctx, hedged)
		}
		ctx, cancel := context.WithTimeout(ctx, hedgeTimeout)
		defer cancel()
		return call(ctx, hedged)
	}
	start := func(hedged bool) {
		inFlight++
		go func() {
			value, err := bounded(hedged)
			select {
			case answers <- answer{value, err}:
			case <-ctx.Done():
			}
		}()
	}
	start(false)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	hedging := false
	var zero T
	for {
		var expiry <-chan time.Time
		if at, ok := m.nextExpiry(); ok {
			expiry = time.After(time.Until(at))
		}
		select {
		case <-expiry:
			m.expireAndNotify()
		case a := <-answers:
			inFlight--
			if a.err == nil || errors.Is(a.err, ErrCompacted) || inFlight == 0 {
				return a.value, a.err
			}
			m.opts.Log.Debug().Err(a.err).Str("prefix", m.opts.Prefix).Msg("store call failed; another one is in progress")
		case <-timer.C:
			if hedging {
				// Only after a hedged call has failed too is the store known to hang,
				// and not just the connection of the first call.
				m.markOutage(errTimeout)
			}
			hedging = true
			m.expireAndNotify()
			start(true)
			timer.Reset(hedgeTimeout)
		case <-refresh:
			return zero, errRefresh
		case <-ctx.Done():
			return zero, errTimeout
		}
	}
}
