package reqlog_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/io/reqlog"
)

const sampleLog = `
  1.2 front-1 {"level":"info","process":"router-1","request":"r1","model":"m","endpoint":"e1","expected-ms":2100,"time":"2026-01-01T10:00:01.000Z","message":"wait"}
{"level":"info","process":"agent-1","model":"m","endpoint":"e1","operation":"load","outcome":"accepted","time":"2026-01-01T10:00:01.005Z","message":"order"}
{"level":"info","process":"agent-2","model":"other","endpoint":"e2","operation":"load","time":"2026-01-01T10:00:01.006Z","message":"order"}
{"level":"info","process":"router-1","request":"r2","model":"m","time":"2026-01-01T10:00:01.100Z","message":"wait"}
{"level":"warn","process":"router-1","dependency":"store","time":"2026-01-01T10:00:02.000Z","message":"dependency lost"}
{"level":"info","process":"router-1","request":"r1","endpoint":"e1","took-ms":900,"outcome":"done","time":"2026-01-01T10:00:04.000Z","message":"attempt"}
{"level":"info","process":"router-1","time":"2026-01-01T11:00:00.000Z","message":"stopped"}
no line at all
{"broken
`

func TestForRequest(t *testing.T) {
	lines, err := reqlog.ReadLog(strings.NewReader(sampleLog))
	require.NoError(t, err)
	got, err := reqlog.ForRequest(lines, "r1")
	require.NoError(t, err)
	messages := make([]string, 0, len(got))
	for _, l := range got {
		messages = append(messages, l.Process+" "+l.Message)
	}
	assert.Equal(t, []string{
		"router-1 wait", "agent-1 order", "router-1 dependency lost", "router-1 attempt",
	}, messages)
}

func TestUnknownRequest(t *testing.T) {
	lines, err := reqlog.ReadLog(strings.NewReader(sampleLog))
	require.NoError(t, err)
	_, err = reqlog.ForRequest(lines, "r9")
	assert.ErrorIs(t, err, reqlog.ErrUnknownRequest)
}

func Example() {
	lines, err := reqlog.ReadLog(strings.NewReader(sampleLog))
	if err != nil {
		fmt.Println(err)
		return
	}
	selected, err := reqlog.ForRequest(lines, "r2")
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := reqlog.Write(os.Stdout, selected[len(selected)-1:]); err != nil {
		fmt.Println(err)
	}
	// Output:
	//       +0s  router-1                         wait                 level=info model=m request=r2
}
