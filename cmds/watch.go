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
	MaxChanges int  `long:"count" value-name:"N" description:"exit after N changes; 0 runs until interrupted"`
	JSON       bool `long:"json" description:"print one JSON object per line"`
}

const watchLong = `Prints changes of records as they happen: written, accepted, removed, or rejected
with the reasons. It continues after outages of the key-value service.

Exit codes: 0 interrupted or --count reached, 1 output failed, 2 wrong usage.`

func init() {
	register("watch", "print changes of records", watchLong, &watchCommand{})
}

// recordChange is a change of a record, and the JSON output for it.
type recordChange struct {
	record.Key
	// Change is one of written, accepted, removed and rejected.
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
	return c.printChanges(ctx, accept.NewRecordStore(client), wake, w)
}

// watchInterval is how often watch reads the records without a notification, and how long it
// waits before it retries a failed watch of the key-value service.
const watchInterval = 2 * time.Second

// notifyChanges watches the keys with a prefix until ctx is done, and sends to wake when they
// change. It does not block if wake is full.
func notifyChanges(ctx context.Context, client *etcd.Client, prefix string, wake chan<- struct{}) {
	for ctx.Err() == nil {
		// The error can be ignored, as printChanges also reads every watchInterval.
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

// printChanges reads all records when notified on wake, and every watchInterval, and prints what
// changed since the previous read. It returns when ctx is done, after c.MaxChanges changes, or if
// printing fails. Read errors are retried.
func (c *watchCommand) printChanges(ctx context.Context, store *accept.RecordStore, wake <-chan struct{}, w io.Writer) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var before []recordView
	hasPrev := false
	count := 0
	for {
		contents, err := store.Read(ctx)
		if err == nil {
			now := recordViews(contents)
			for _, change := range changesBetween(before, now, hasPrev) {
				if err := c.print(w, change); err != nil {
					return err
				}
				if count++; count == c.MaxChanges {
					return nil
				}
			}
			before, hasPrev = now, true
		}
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-ticker.C:
		}
	}
}

// changesBetween returns the changes from one read of the records to the next. It returns none
// if hasPrev is false, which means that there is no previous read.
func changesBetween(before, now []recordView, hasPrev bool) []recordChange {
	if !hasPrev {
		return nil
	}
	prevByKey := make(map[record.Key]recordView, len(before))
	for _, r := range before {
		prevByKey[r.Key] = r
	}
	var changes []recordChange
	for _, r := range now {
		prev := prevByKey[r.Key]
		if r.RawRevision > prev.RawRevision {
			changes = append(changes, recordChange{Key: r.Key, Change: "written", Revision: r.RawRevision})
		}
		if r.Accepted != nil && (prev.Accepted == nil || r.Accepted.AcceptedRevision > prev.Accepted.AcceptedRevision) {
			change := recordChange{Key: r.Key, Change: "accepted", Revision: r.Accepted.AcceptedRevision}
			if r.Accepted.Deleted {
				change.Change = "removed"
			}
			changes = append(changes, change)
		}
		if s := r.Status; s != nil && s.Verdict == record.VerdictRejected && (prev.Status == nil || s.Replaces(*prev.Status)) {
			changes = append(changes, recordChange{Key: r.Key, Change: "rejected", Revision: s.RawRevision, Problems: s.Problems})
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
