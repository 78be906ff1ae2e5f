package agentd

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
)

// maxBytesPerModel limits the size of a report per model. An agent with 20 models that
// reports every 2 s then sends each router less than 0.3 KB/s.
const maxBytesPerModel = 30

// BenchmarkReportBytes measures the size of a report for different numbers of models.
func BenchmarkReportBytes(b *testing.B) {
	for _, models := range []int{0, 20, 40} {
		b.Run(fmt.Sprint(models), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(reportSize(models)), "bytes")
			}
		})
	}
}

// reportSize returns the size of a report with the given number of models.
func reportSize(models int) int {
	now := time.Unix(1_800_000_000, 0)
	rep := agent.Report{Instance: fleet.Instance(now.UnixNano()), Incarnation: 3, MemoryTotal: 80 * fleet.GiB, MemoryFree: 7 * fleet.GiB}
	for i := range models {
		rep.Models = append(rep.Models, agent.ModelReport{
			Model: fleet.MakeModelID(fmt.Sprintf("model-%02d", i), "1"), Stage: "cold", Generation: 12,
		})
	}
	return proto.Size(reportMessage(now, 1000, rep))
}

// TestReportBytesPerModel checks by how much each model enlarges a report.
func TestReportBytesPerModel(t *testing.T) {
	require.LessOrEqual(t, (reportSize(40)-reportSize(20))/20, maxBytesPerModel)
}
