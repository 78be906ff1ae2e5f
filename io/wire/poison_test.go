package wire

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"chervilreach/core/poison"
	"chervilreach/core/stock"
	"chervilreach/io/wire/wirepb"
)

// throughWire encodes and decodes a message as a peer does.
func throughWire[M proto.Message](t *testing.T, m, decoded M) M {
	t.Helper()
	raw, err := proto.Marshal(m)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(raw, decoded))
	return decoded
}

func TestCrashesRoundTrip(t *testing.T) {
	now := time.UnixMilli(5_000_000)
	for name, list := range map[string][]poison.Crash{
		"none":             {},
		"without suspects": {{Instance: "i-1", At: now, Suspects: []poison.Suspect{}}},
		"two": {
			{Instance: "i-1", At: now.Add(-time.Second), Suspects: []poison.Suspect{
				{Part: 1, SentAt: now.Add(-2 * time.Second), Depth: 2, Answering: true},
				{Part: ^poison.Part(0), SentAt: now.Add(-time.Minute)},
			}},
			{Instance: "i-2", At: now.Add(-time.Microsecond), AliveAt: now.Add(-time.Second), Suspects: []poison.Suspect{{Part: 3, SentAt: now.Add(-time.Millisecond), Depth: 1}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := throughWire(t, EncodeCrashes(now, list), &wirepb.CrashReports{})
			assert.Equal(t, list, DecodeCrashes(now, m))
			later := DecodeCrashes(now.Add(time.Hour), m)
			for i, c := range list {
				assert.Equal(t, c.At.Add(time.Hour), later[i].At, "times are relative to the receiver's clock")
			}
		})
	}
}

func TestVerdictsRoundTrip(t *testing.T) {
	now := time.UnixMilli(5_000_000)
	for name, list := range map[string][]poison.Verdict{
		"none":      {},
		"convicted": {{Part: 1, DecidedAt: now.Add(-time.Hour), CrashCount: 3}},
		"lifted":    {{Part: 2, DecidedAt: now, Lifted: true}, {Part: 3, DecidedAt: now.Add(-time.Millisecond), CrashCount: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			m := throughWire(t, EncodeVerdicts(now, list), &wirepb.PartVerdicts{})
			assert.Equal(t, list, DecodeVerdicts(now, m))
		})
	}
}

func TestAnsweredRoundTrip(t *testing.T) {
	for name, parts := range map[string][]poison.Part{"none": nil, "one": {1}, "two": {^poison.Part(0), 0}} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, parts, DecodeAnswered(throughWire(t, EncodeAnswered(parts), &wirepb.AnsweredParts{})))
		})
	}
}

// TestStockWithVerdictsRoundTrip checks that verdicts are omitted while they are the same, and that
// their end is told.
func TestStockWithVerdictsRoundTrip(t *testing.T) {
	now := time.UnixMilli(5_000_000)
	first := stock.Report{
		Instance: "i-1", Down: true, Suspects: []poison.Part{1, 2}, Verdicts: []poison.Verdict{{Part: 3, DecidedAt: now.Add(-time.Second), CrashCount: 3}},
	}
	lifted := first
	lifted.Down, lifted.Suspects, lifted.Verdicts = false, nil, []poison.Verdict{{Part: 3, DecidedAt: now, Lifted: true}}
	none := lifted
	none.Verdicts = nil
	for name, encode := range map[string]func(now time.Time, r, last stock.Report) *wirepb.Stock{"full": EncodeStock, "brief": EncodeBriefStock} {
		t.Run(name, func(t *testing.T) {
			var sent, received stock.Report
			for _, r := range []stock.Report{first, first, lifted, none, none, first} {
				m := throughWire(t, encode(now, r, sent), &wirepb.Stock{})
				assert.Equal(t, len(sent.Verdicts) == len(r.Verdicts) && lo.EveryBy(r.Verdicts, func(v poison.Verdict) bool {
					return v.Equal(sent.Verdicts[0])
				}), m.GetVerdicts() == nil, "omitted if unchanged")
				received = DecodeStock(now, m, received)
				sent = r
				assert.Equal(t, r.Down, received.Down)
				assert.Equal(t, r.Suspects, received.Suspects)
				assert.ElementsMatch(t, r.Verdicts, received.Verdicts)
			}
		})
	}
}

// A peer of an older version takes a frame that it does not know for one without a body, and ends the
// stream. Fields that it does not know are ignored.
func TestUnknownFramesAndFieldsAreIgnored(t *testing.T) {
	unknown := protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), []byte("later"))
	frame := &wirepb.Frame{}
	require.NoError(t, proto.Unmarshal(unknown, frame))
	assert.Nil(t, frame.GetBody())
	raw, err := proto.Marshal(EncodeStock(time.UnixMilli(0), stock.Report{Instance: "i-1"}, stock.Report{}))
	require.NoError(t, err)
	m := &wirepb.Stock{}
	require.NoError(t, proto.Unmarshal(append(raw, unknown...), m))
	r := DecodeStock(time.UnixMilli(0), m, stock.Report{})
	assert.Equal(t, "i-1", r.Instance)
	assert.Empty(t, r.Verdicts, "an older agent sends none")
	assert.False(t, r.Down)
}

// Guards against reports that exceed the bound of a router's control traffic, 3 KB/s, by themselves
// when an agent's tables are full.
func TestFullReportIsSmall(t *testing.T) {
	now := time.UnixMilli(5_000_000)
	r := stock.Report{Instance: "i-1"}
	for n := range 256 {
		r.Suspects = append(r.Suspects, ^poison.Part(n))
		r.Verdicts = append(r.Verdicts, poison.Verdict{Part: ^poison.Part(1000 + n), DecidedAt: now.Add(-30 * time.Minute), CrashCount: 3})
	}
	first, next := proto.Size(EncodeStock(now, r, stock.Report{})), proto.Size(EncodeBriefStock(now, r, r))
	t.Logf("first report %d bytes, next %d", first, next)
	assert.Less(t, first, 3*3*1024)
	assert.Less(t, next, 3*1024)
}
