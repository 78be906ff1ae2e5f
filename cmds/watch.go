package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/io/accept"
	"chervilreach/io/etcd"
)

type watchCommand struct {
	kvOptions
	Count int  `long:"count" value-name:"N" description:"end after N changes; 0 goes on until interrupted"`
	JSON  bool `long:"json" description:"print one JSON value a line"`
}

const watchLong = `Prints each change of records as it happens: written, accepted, removed or
rejected with the reasons. It goes on through outages of the key-value service.

Exit codes: 0 interrupted or --count reached, 1 output failed, 2 wrong usage.`

func init() {
	register("watch", "print changes of records", watchLong, &watchCommand{})
}

// recordChange is one change that watch prints.
type recordChange struct {
	record.Key
	// Change is one of written, accepted, removed, rejected.
	Change   string           `json:"change"`
	Revision fleet.Revision   `json:"revision"`
	Problems []record.Problem `json:"problems,omitempty"`
}

// Execute implements flags.Commander.
func (c *watchCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return c.run(ctx, os.Stdout)
}

func (c *watchCommand) run(ctx context.Context, w io.Writer) error {
	client, err := c.requireClient()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wake := make(chan struct{}, 1)
	for _, prefix := range []string{accept.PrefixRaw, accept.PrefixStatus} {
		wg.Go(func() { notifyChanges(ctx, client, prefix, wake) })
	}
	return c.printChanges(ctx, accept.NewStore(client), wake, w)
}

// watchPause is how often watch reads without being woken, and how long it
// waits before it watches again.
const watchInterval = 2 * time.Second

// wakeOn wakes the reader when something under the prefix changes.
func notifyChanges(ctx context.Context, client *etcd.Client, prefix string, wake chan<- struct{}) {
	for ctx.Err() == nil {
		// After an error the reader goes on every watchPause.
		_ = client.Watch(ctx, prefix, 0, func([]etcd.Change) {
			select {
			case wake <- struct{}{}:
			default:
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
}

// follow reads everything when woken and prints what has changed.
func (c *watchCommand) printChanges(ctx context.Context, store *accept.Store, wake <-chan struct{}, w io.Writer) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var before []recordView
	known := false
	printed := 0
	for {
		contents, err := store.Read(ctx)
		if err == nil {
			now := recordViews(contents)
			for _, change := range changesBetween(before, now, known) {
				if err := c.print(w, change); err != nil {
					return err
				}
				if printed++; printed == c.Count {
					return nil
				}
			}
			before, known = now, true
		}
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-ticker.C:
		}
	}
}

// changesBetween compares two readings. There are none before the first.
func changesBetween(before, now []recordView, known bool) []recordChange {
	if !known {
		return nil
	}
	old := make(map[record.Key]recordView, len(before))
	for _, r := range before {
		old[r.Key] = r
	}
	var changes []recordChange
	for _, r := range now {
		was := old[r.Key]
		if r.RawRevision > was.RawRevision {
			changes = append(changes, recordChange{Key: r.Key, Change: "written", Revision: r.RawRevision})
		}
		if r.Accepted != nil && (was.Accepted == nil || r.Accepted.Accepted > was.Accepted.Accepted) {
			change := recordChange{Key: r.Key, Change: "accepted", Revision: r.Accepted.Accepted}
			if r.Accepted.Deleted {
				change.Change = "removed"
			}
			changes = append(changes, change)
		}
		if s := r.Status; s != nil && s.Verdict == record.VerdictRejected && (was.Status == nil || s.Replaces(*was.Status)) {
			changes = append(changes, recordChange{Key: r.Key, Change: "rejected", Revision: s.Raw, Problems: s.Problems})
		}
	}
	return changes
}

func (c *watchCommand) print(w io.Writer, change recordChange) error {
	if c.JSON {
		if err := json.NewEncoder(w).Encode(change); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
		return nil
	}
	text := fmt.Sprintf("%s %s at revision %d\n", change.Key, change.Change, change.Revision)
	for _, p := range change.Problems {
		text += fmt.Sprintf("  %d:%d: %s\n", p.Line, p.Column, p)
	}
	return writeText(w, text)
}
