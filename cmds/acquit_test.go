package cmds

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/poison"
	"chervilreach/io/admin"
	"chervilreach/io/line"
)

// acquitter has a conviction of one part.
type acquitter struct {
	convicted atomic.Uint64
}

func (a *acquitter) Acquit(part poison.Part) error {
	if !a.convicted.CompareAndSwap(uint64(part), 0) {
		return poison.ErrNotConvicted
	}
	return nil
}

// processWithConviction serves the administration API of a process that has convicted the part.
func processWithConviction(t *testing.T, part poison.Part) addrFlag {
	t.Helper()
	a := &acquitter{}
	a.convicted.Store(uint64(part))
	return listen(t, admin.Handler(admin.HandlerConfig{
		Source: agentSource{}, Recorder: line.New("p", &event.Clock{}, line.DefaultLimits()), Metrics: metrics.NewRegistry(), Acquitter: a,
	}))
}

func TestAcquitCommand(t *testing.T) {
	c := acquitCommand{processOptions: processOptions{Hosts: hostList(t), Wait: time.Minute}}
	c.Args.Part = partArg{0x1f}
	c.Processes = []addrFlag{processWithConviction(t, 0x1f), processWithConviction(t, 0x2f)}
	var out bytes.Buffer
	require.NoError(t, c.run(t.Context(), &out))
	require.Regexp(t, `^h-2 \(127\.0\.0\.1:1\): no answer: .*\nconviction of 000000000000001f lifted at 1 of 4 processes\n$`, out.String())

	err := c.run(t.Context(), &out)
	require.ErrorIs(t, err, poison.ErrNotConvicted)
	require.EqualError(t, err, "000000000000001f: part is not convicted at any process that answered")
}

func TestAcquitNamesWhatIsWrongWithThePart(t *testing.T) {
	var a partArg
	require.EqualError(t, a.UnmarshalFlag("deadly"), `wrong usage: argument PART: part is not 16 hexadecimal digits: "deadly"`)
	require.NoError(t, a.UnmarshalFlag("00000000000000ff"))
	require.Equal(t, poison.Part(0xff), a.Part)
}
