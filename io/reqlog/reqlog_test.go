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

const poisonLog = `
{"level":"warn","process":"router-2","endpoint":"e5","lost":1,"suspects":["00000000000000a1","00000000000000b2"],"time":"2026-01-01T09:00:00.000Z","message":"endpoint crashed"}
{"level":"warn","process":"router-2","endpoint":"e7","lost":1,"suspects":["00000000000000a1"],"time":"2026-01-01T09:59:00.000Z","message":"endpoint crashed"}
{"level":"warn","process":"router-2","endpoint":"e8","lost":1,"suspects":["00000000000000c3"],"time":"2026-01-01T09:59:30.000Z","message":"endpoint crashed"}
{"level":"warn","process":"agent-1","part":"00000000000000a1","crashes":3,"time":"2026-01-01T10:00:00.000Z","message":"prompt part convicted"}
{"level":"warn","process":"agent-1","part":"00000000000000c3","crashes":3,"time":"2026-01-01T10:00:00.000Z","message":"prompt part convicted"}
{"level":"warn","process":"router-1","part":"00000000000000a1","lifted":false,"crashes":3,"age-ms":5,"told-by":"e1","time":"2026-01-01T10:00:00.006Z","message":"verdict on prompt part changed"}
{"level":"warn","process":"router-2","part":"00000000000000a1","lifted":false,"crashes":3,"age-ms":9,"told-by":"e2","time":"2026-01-01T10:00:00.010Z","message":"verdict on prompt part changed"}
{"level":"info","process":"router-1","request":"refused","route":"draft","part-id":"p-1","part":"00000000000000a1","crashes":3,"verdict-age-ms":60000,"time":"2026-01-01T10:01:00.000Z","message":"prompt part refused"}
{"level":"info","process":"router-1","request":"refused","route":"draft","took-ms":0,"outcome":"refused","why":"prompt-crashes-endpoints","time":"2026-01-01T10:01:00.001Z","message":"request"}
{"level":"info","process":"router-1","request":"broken","try":1,"endpoint":"e9","took-ms":60,"outcome":"broken","parts":["p-2","p-3"],"time":"2026-01-01T10:02:00.000Z","message":"attempt"}
{"level":"info","process":"router-1","request":"broken","route":"draft","took-ms":61,"outcome":"failed","why":"attempts-failed","time":"2026-01-01T10:02:00.001Z","message":"request"}
{"level":"warn","process":"router-1","endpoint":"e9","lost":1,"suspects":["00000000000000d4"],"time":"2026-01-01T10:02:00.120Z","message":"endpoint crashed"}
{"level":"warn","process":"router-2","endpoint":"e9","lost":2,"suspects":["00000000000000d4"],"time":"2026-01-01T10:02:00.130Z","message":"endpoint crashed"}
{"level":"warn","process":"router-2","endpoint":"e8","lost":1,"suspects":["00000000000000d4"],"time":"2026-01-01T10:02:00.140Z","message":"endpoint crashed"}
{"level":"warn","process":"router-1","endpoint":"e9","lost":1,"suspects":["00000000000000d4"],"time":"2026-01-01T10:03:00.000Z","message":"endpoint crashed"}
`

func TestForRequestFindsCrashesAndVerdicts(t *testing.T) {
	lines, err := reqlog.ReadLog(strings.NewReader(poisonLog))
	require.NoError(t, err)
	for request, want := range map[string][]string{
		"refused": {
			"router-2 endpoint crashed e7", "agent-1 prompt part convicted", "router-1 verdict on prompt part changed",
			"router-1 prompt part refused", "router-1 request",
		},
		"broken": {"router-1 attempt e9", "router-1 request", "router-1 endpoint crashed e9", "router-2 endpoint crashed e9"},
	} {
		t.Run(request, func(t *testing.T) {
			got, err := reqlog.ForRequest(lines, request)
			require.NoError(t, err)
			messages := make([]string, 0, len(got))
			for _, l := range got {
				messages = append(messages, strings.TrimSpace(l.Process+" "+l.Message+" "+l.Fields["endpoint"]))
			}
			assert.Equal(t, want, messages)
		})
	}
}
