package etcd

import "github.com/rcrowley/go-metrics"

// counters count the calls by kind. A watch counts as one call, however long it runs.
type counters struct {
	reads, writes, grants, renewals, revokes, watches, failed metrics.Counter
}

func newCounters(reg metrics.Registry) counters {
	return counters{
		reads:    metrics.GetOrRegisterCounter("kv-calls-range", reg),
		writes:   metrics.GetOrRegisterCounter("kv-calls-txn", reg),
		grants:   metrics.GetOrRegisterCounter("kv-calls-lease-grant", reg),
		renewals: metrics.GetOrRegisterCounter("kv-calls-lease-keep-alive", reg),
		revokes:  metrics.GetOrRegisterCounter("kv-calls-lease-revoke", reg),
		watches:  metrics.GetOrRegisterCounter("kv-calls-watch", reg),
		failed:   metrics.GetOrRegisterCounter("kv-calls-failed", reg),
	}
}

// CallCounts holds the number of calls by kind.
type CallCounts struct {
	Range     int64 `json:"range"`
	Txn       int64 `json:"txn"`
	Grant     int64 `json:"lease-grant"`
	KeepAlive int64 `json:"lease-keep-alive"`
	Revoke    int64 `json:"lease-revoke"`
	Watch     int64 `json:"watch"`
	// Failed is the number of failed attempts of all kinds. A call that tries several
	// addresses may count several times.
	Failed int64 `json:"failed"`
}

// CallCounts returns the number of calls made so far by all clients that share the
// registry of Options.
func (c *Client) CallCounts() CallCounts {
	return CallCounts{
		Range:     c.counts.reads.Count(),
		Txn:       c.counts.writes.Count(),
		Grant:     c.counts.grants.Count(),
		KeepAlive: c.counts.renewals.Count(),
		Revoke:    c.counts.revokes.Count(),
		Watch:     c.counts.watches.Count(),
		Failed:    c.counts.failed.Count(),
	}
}
