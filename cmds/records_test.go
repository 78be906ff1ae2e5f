package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/record"
	"chervilreach/fakes"
	"chervilreach/io/accept"
	"chervilreach/io/etcd"
	"chervilreach/sample"
)

const (
	urgentKind  = `{"schema": 2, "record": "kind", "name": "notice", "urgency": 9, "patience": "60s", "idempotent": false} // late is bad`
	badKind     = "[\n{\"schema\": 2, \"record\": \"kind\", \"name\": \"notice\", \"patience\": 60, \"idempotent\": false}]"
	danglingRef = `{"schema": 2, "record": "service", "name": "booking", "kind": "no-kind", "endpoints": ["e"]}`
)

// newKV starts a key-value service and a watcher that accepts its records, and returns the
// options that select the service.
func newKV(t *testing.T) kvOptions {
	t.Helper()
	kv := fakes.NewKV(fakes.KVOptions{})
	require.NoError(t, kv.Start(netip.MustParseAddrPort("127.0.0.1:0")))
	client := etcd.New([]netip.AddrPort{kv.Addr()}, etcd.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		accept.NewWatcher(client, accept.NewSource(nil), accept.Options{}).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
		kv.Close()
	})
	return kvOptions{KV: []addrFlag{{kv.Addr()}}}
}

// recordFile writes a file of records and returns its path.
func recordFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "records.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestCheckExitCodes(t *testing.T) {
	_, example, err := sample.Read(sample.Association)
	require.NoError(t, err)
	tests := map[string]struct {
		text string
		want int
	}{
		"good":                 {string(example), ExitOK},
		"bad":                  {badKind, ExitUsage},
		"needs another record": {danglingRef, ExitOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, Run([]string{"check", recordFile(t, tc.text)}))
		})
	}
	require.Equal(t, ExitUsage, Run([]string{"check"}))
	require.Equal(t, ExitUsage, Run([]string{"apply", recordFile(t, urgentKind)}), "no --kv")
	require.Equal(t, ExitFailed, Run([]string{"get", "--kv", "127.0.0.1:1"}), "no service")
}

func TestCheckPrintsProblems(t *testing.T) {
	var out bytes.Buffer
	c := checkCommand{JSON: true, Args: fileArgs{Files: []string{recordFile(t, badKind)}}}
	err := c.run(t.Context(), &out)
	require.ErrorIs(t, err, ErrUsage)
	require.ErrorContains(t, err, ":2:63: kind notice: field patience is 60; expected a time")
	var result checkResult
	require.NoError(t, json.Unmarshal(out.Bytes(), &result))
	require.Len(t, result.Problems, 1)
	require.Equal(t, 2, result.Problems[0].Line)
}

func TestRecordCommands(t *testing.T) {
	kv := newKV(t)
	ctx := t.Context()
	apply := func(text string, dry bool) (string, error) {
		var out bytes.Buffer
		c := applyCommand{kvOptions: kv, DryRun: dry, Wait: time.Minute, Args: fileArgs{Files: []string{recordFile(t, text)}}}
		err := c.run(ctx, &out)
		return out.String(), err
	}
	get := func(names ...string) (string, error) {
		var out bytes.Buffer
		c := getCommand{kvOptions: kv}
		c.Args.Records = names
		err := c.run(ctx, &out)
		return out.String(), err
	}
	diff := func(files ...string) (string, error) {
		var out bytes.Buffer
		c := diffCommand{kvOptions: kv}
		c.Args.Files = files
		err := c.run(ctx, &out)
		return out.String(), err
	}

	out, err := apply(urgentKind, true)
	require.NoError(t, err)
	require.Contains(t, out, "+ {\"schema\": 2")
	out, err = get()
	require.NoError(t, err)
	require.NotContains(t, out, "notice", "the dry run wrote the record")

	out, err = apply(urgentKind, false)
	require.NoError(t, err)
	require.Contains(t, out, "kind notice: accepted, accepted revision 1 in force")
	out, err = apply(urgentKind, false)
	require.NoError(t, err)
	require.Contains(t, out, "0 records differ, 1 are as stored")

	out, err = get("kind/notice")
	require.NoError(t, err)
	raws, err := record.Parse("get", []byte(out))
	require.NoError(t, err, "the output of get can't be applied")
	require.Len(t, raws, 1)
	_, err = get("kind/none")
	require.Error(t, err)

	_, err = apply(danglingRef, false)
	require.ErrorIs(t, err, ErrUsage)
	require.ErrorContains(t, err, `field kind names unknown kind "no-kind"`)
	_, err = diff()
	require.NoError(t, err, "the rejected record was written")
	out, err = diff(recordFile(t, strings.Replace(urgentKind, "9", "8", 1)))
	require.ErrorIs(t, err, errDiffer)
	require.Contains(t, out, `"urgency": 8`)

	out, err = apply(`{"schema": 1, "record": "kind", "name": "notice", "urgent": true, "patience-ms": 5000, "idempotent": false}`, false)
	require.NoError(t, err)
	require.Contains(t, out, `+   "urgency": 9`, "a record of schema 1 keeps the urgency")
}

// Records that need more than one transaction are all accepted, even if those in the first one
// refer to a record in the last one.
func TestApplyInSeveralSteps(t *testing.T) {
	// The members in the first transaction are rejected until the last one writes the model.
	var list []string
	for i := range 250 {
		list = append(list, fmt.Sprintf(`{"schema": 1, "record": "member", "name": "m-%d", "key-hash": "%064x", "models": ["late"]}`, i, i))
	}
	list = append(list, `{"schema": 1, "record": "model", "name": "late", "version": "1", "copies": 1, "size-mib": 1}`)
	var out bytes.Buffer
	c := applyCommand{kvOptions: newKV(t), Wait: time.Minute, JSON: true, Args: fileArgs{Files: []string{recordFile(t, "["+strings.Join(list, ",")+"]")}}}
	require.NoError(t, c.run(t.Context(), &out))
	var result applyResult
	require.NoError(t, json.Unmarshal(out.Bytes(), &result))
	require.Len(t, result.Statuses, 251)
}

// A rejection is not final if a record that was written since may make the rejected one valid.
func TestVerdictIsNotFinalWhileMoreIsAccepted(t *testing.T) {
	service := record.ParseStored(record.Key{Type: record.TypeService, Name: "booking"}, []byte(strings.ReplaceAll(danglingRef, "no-kind", "notice")), 5)
	kind := record.ParseStored(record.Key{Type: record.TypeKind, Name: "notice"}, []byte(urgentKind), 6)
	plan := accept.Plan{Edits: []accept.Edit{{Key: service.Key}}}
	contents := accept.Contents{Raws: []record.Raw{service}}
	_, final := verdicts(plan, contents)
	require.False(t, final, "no status")
	contents.Statuses = []record.Status{{Key: service.Key, Verdict: record.VerdictRejected, RawRevision: 5}}
	_, final = verdicts(plan, contents)
	require.True(t, final)
	contents.Raws = append(contents.Raws, kind)
	_, final = verdicts(plan, contents)
	require.False(t, final, "the missing kind was written")
}

func TestRejectedRecordIsShown(t *testing.T) {
	kv := newKV(t)
	client, err := kv.requireClient()
	require.NoError(t, err)
	defer client.Close()

	changes := make(chan string, 1)
	go func() {
		var out bytes.Buffer
		c := watchCommand{kvOptions: kv, MaxChanges: 3, JSON: true}
		_ = c.run(t.Context(), &out)
		changes <- out.String()
	}()
	// watch prints no changes made before its first read, so write until it has printed some.
	key := record.Key{Type: record.TypeKind, Name: "notice"}
	var entry etcd.Entry
	var printed string
	for i := 0; printed == ""; i++ {
		revision, err := client.Write(t.Context(), []etcd.Put{{Key: accept.RawKey(key), Value: []byte(badKind), ExpectRevision: entry.Revision}})
		require.NoError(t, err)
		entry.Revision = revision
		c := diffCommand{kvOptions: kv}
		require.ErrorIs(t, c.run(t.Context(), &bytes.Buffer{}), errDiffer)
		select {
		case printed = <-changes:
		case <-time.After(time.Second):
		}
	}
	require.Contains(t, printed, `"change":"rejected"`)
	require.Contains(t, printed, `"cause":"is not an object"`)
	var out bytes.Buffer
	require.NoError(t, (&getCommand{kvOptions: kv}).run(t.Context(), &out))
	require.Contains(t, out.String(), "never accepted")
}

func TestLineDiff(t *testing.T) {
	tests := map[string]struct{ before, after, want string }{
		"equal":   {"a\nb", "a\nb", ""},
		"new":     {"", "a\n", "+ a\n"},
		"deleted": {"a\nb", "", "- a\n- b\n"},
		"inside":  {"a\nb\nc\nd\ne", "a\nB\nc\nD\ne", "- b\n+ B\n  c\n- d\n+ D\n"},
		"moved":   {"a\nb", "b\na", "- a\n  b\n+ a\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, lineDiff([]byte(tc.before), []byte(tc.after)))
		})
	}
}
