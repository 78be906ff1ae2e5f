package wire

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"chervilreach/core/quota"
	"chervilreach/core/stock"
)

// TestStockRoundTrip encodes and decodes a report, with and without its cached weights.
func TestStockRoundTrip(t *testing.T) {
	now := time.UnixMilli(5_000_000)
	r := stock.Report{
		Instance: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Leaving: true, Running: 3, Waiting: 2,
		KVUsed: 100, KVTotal: 200, Routers: 5,
		Models: []stock.LoadedModel{{Model: "m", Version: 2, Adapters: []string{"a1"}}},
		Loads:  []stock.ScheduledLoad{{Item: stock.Item{Model: "n", Adapter: "a2"}, ReadyAt: now.Add(1500 * time.Millisecond)}},
		Copies: stock.CachedWeights{Memory: []string{"m"}, Disk: []string{"m", "n"}},
		Limits: []stock.EndpointLimit{
			{Instance: "i-1", PerSecond: 1.3, SentAt: now.Add(-time.Second), SeenAt: now.Add(-time.Millisecond)},
			{Instance: "i-2", Ended: true, SentAt: now.Add(-time.Minute), SeenAt: now},
		},
	}
	assert.Equal(t, r, DecodeStock(now, EncodeStock(now, r, stock.Report{}), stock.Report{}))

	unchanged := EncodeStock(now, r, r)
	assert.Nil(t, unchanged.GetCopied(), "cached weights are sent only when they have changed")
	assert.Equal(t, r, DecodeStock(now, unchanged, r))

	later := now.Add(time.Hour)
	got := DecodeStock(later, EncodeStock(now, r, r), r)
	assert.Equal(t, later.Add(1500*time.Millisecond), got.Loads[0].ReadyAt, "times are relative to the receiver's clock")
}

// TestPermitAskRoundTrip encodes and decodes an ask for a permit. A rate that is no number is
// decoded as 0.
func TestPermitAskRoundTrip(t *testing.T) {
	now := time.UnixMilli(5_000_000)
	limit := stock.EndpointLimit{Instance: "i-1", PerSecond: 0.3, SentAt: now.Add(-2 * time.Second), SeenAt: now.Add(-time.Second)}
	ask := quota.Ask{PerSecond: 0.3, Urgent: true, Fallback: true, Latest: now.Add(time.Second), NotBefore: now.Add(3 * time.Second)}
	gotLimit, gotAsk := DecodePermitAsk(now, EncodePermitAsk(now, limit, ask))
	assert.Equal(t, limit, gotLimit)
	assert.Equal(t, ask, gotAsk)
	m := EncodeLimit(now, limit)
	m.PerSecond = math.NaN()
	assert.Zero(t, DecodeLimit(now, m).PerSecond)
}

// TestBriefStockRoundTrip checks that a brief report omits what is the same as in the last one,
// and decodes to the same report.
func TestBriefStockRoundTrip(t *testing.T) {
	now := time.UnixMilli(5_000_000)
	last := stock.Report{
		Instance: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:80"), KVTotal: 200,
		Models: []stock.LoadedModel{{Model: "m", Version: 2, Adapters: []string{"a1"}}}, Loads: []stock.ScheduledLoad{},
		Copies: stock.CachedWeights{Disk: []string{"m", "n"}},
	}
	for name, change := range map[string]func(r *stock.Report){
		"load":    func(r *stock.Report) { r.Running, r.Waiting, r.KVUsed, r.Routers = 3, 2, 100, 4 },
		"leaving": func(r *stock.Report) { r.Leaving = true },
		"limits": func(r *stock.Report) {
			r.Limits = []stock.EndpointLimit{{Instance: "i-1", PerSecond: 2, SentAt: now, SeenAt: now}}
		},
		"models": func(r *stock.Report) { r.Models = []stock.LoadedModel{} },
		"adapter": func(r *stock.Report) {
			r.Models = []stock.LoadedModel{{Model: "m", Version: 2, Adapters: []string{"a2"}}}
		},
		"cached weights": func(r *stock.Report) { r.Copies = stock.CachedWeights{Memory: []string{"m"}} },
		"instance":       func(r *stock.Report) { r.Instance = "i-2" },
	} {
		t.Run(name, func(t *testing.T) {
			r := last
			change(&r)
			m := EncodeBriefStock(now, r, last)
			assert.Equal(t, name == "load" || name == "leaving" || name == "limits", m.GetAsBefore())
			assert.Equal(t, r, DecodeStock(now, m, last))
		})
	}
}

// TestDemandRoundTrip encodes and decodes a demand.
func TestDemandRoundTrip(t *testing.T) {
	now := time.UnixMilli(5_000_000)
	d := stock.Demand{
		Wants: []stock.LoadRequest{{
			Item: stock.Item{Model: "m", Adapter: "a"}, Priority: 2, Deadline: now.Add(time.Second), Target: now.Add(-time.Millisecond), Waiting: 4, Rate: 1.5,
		}, {
			Item: stock.Item{Model: "n"}, Deadline: now.Add(time.Second),
		}},
		Uses:      []stock.ModelUsage{{Model: "m", Running: 3, Rate: 0.25, Holders: 2}},
		ReportGap: 3200 * time.Millisecond,
	}
	assert.Equal(t, d, DecodeDemand(now, EncodeDemand(now, d)))
}

// TestReportIsSmall bounds the size of reports in which only the load has changed, as in most. A
// router receives one per second from each agent that it follows, and all its control traffic
// must stay within 3 KB/s.
func TestReportIsSmall(t *testing.T) {
	r := stock.Report{
		Instance: "i-0123456789", Address: netip.MustParseAddrPort("10.100.200.30:8080"), Running: 40, KVUsed: 100_000,
		KVTotal: 131_932, Routers: 330,
		Models: []stock.LoadedModel{
			{Model: "model000001", Version: 1, Adapters: []string{"a1", "a2"}}, {Model: "model000002", Version: 1}, {Model: "model000003", Version: 1},
		},
		Copies: stock.CachedWeights{Disk: make([]string, 20)},
	}
	assert.LessOrEqual(t, proto.Size(EncodeStock(time.Now(), r, r)), 150)
	assert.LessOrEqual(t, proto.Size(EncodeBriefStock(time.Now(), r, r)), 20)
}
