package mirror

import (
	"context"
	"errors"
	"time"
)

// besideTime bounds the calls that are made beside a silent one, one at a time.
const besideTime = time.Second

// beside makes a call and returns its answer. While the call is silent others are
// made beside it, as a connection may be silent for good while new ones work; the
// first answer counts. It ends with errRefresh if that is asked for meanwhile.
func beside[T any](
	ctx context.Context, m *Mirror, patience time.Duration, refresh <-chan struct{},
	call func(ctx context.Context, again bool) (T, error),
) (T, error) {
	type answer struct {
		value T
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, patience+callMost)
	defer cancel()
	answers := make(chan answer)
	open := 0
	bounded := func(again bool) (T, error) {
		if !again {
			return call(ctx, again)
		}
		ctx, cancel := context.WithTimeout(ctx, besideTime)
		defer cancel()
		return call(ctx, again)
	}
	begin := func(again bool) {
		open++
		go func() {
			value, err := bounded(again)
			select {
			case answers <- answer{value, err}:
			case <-ctx.Done():
			}
		}()
	}
	begin(false)
	silent := time.NewTimer(patience)
	defer silent.Stop()
	asked := false
	var none T
	for {
		select {
		case a := <-answers:
			open--
			if a.err == nil || errors.Is(a.err, ErrCompacted) || open == 0 {
				return a.value, a.err
			}
		case <-silent.C:
			if asked {
				// Only a call beside it tells a silent store from a silent connection.
				m.lost(errSilent)
			}
			asked = true
			m.expire(time.Now())
			begin(true)
			silent.Reset(besideTime)
		case <-refresh:
			return none, errRefresh
		case <-ctx.Done():
			return none, errSilent
		}
	}
}
