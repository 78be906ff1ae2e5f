package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"chervilreach/platform/mock"
)

// softwareVersions are the versions of the model replicas' software, by turns.
var softwareVersions = []string{mock.DefaultSoftware, "v1.1"}

// maxResumptions is how often a caller resumes a stream that breaks off. Two repeats of a request in
// crashes that other requests cause can convict it (KNOWN-RED.txt, core/poison).
const maxResumptions = 1

// resume resumes a stream that has broken off, at random routers, until it is whole. Text of two versions
// of the replicas' software does not fit together.
func (c *callers) resume(rnd *rand.Rand, first outcome, target [2]string, p prompt) {
	last := &first
	for n := range maxResumptions {
		if !first.isStream() || first.status != http.StatusOK || last.complete || last.eventCount() == 0 {
			return
		}
		router := pick(rnd, c.fleet.routers)
		conn := dialCaller(router)
		if conn == nil {
			time.Sleep(thinkTime)
			continue
		}
		o := outcome{
			attemptID: fmt.Sprintf("%s-r%d", first.attemptID, n), path: target[0], router: router.name, resumed: last,
			deadlyPart: p.deadlyPart, connectedAt: conn.connectedAt, sentAt: time.Now(),
		}
		conn.finish(&o, target[1], p, mock.ResumeHeaders(first.attemptID, last.eventCount()-1)...)
		conn.close()
		c.add(o)
		if o.status == http.StatusOK && o.text() != "" {
			last = &o
		}
	}
}

// isStream reports whether the answer is a stream.
func (o *outcome) isStream() bool {
	return o.path == mock.ResumablePath || o.path == mock.LongTimeoutPath
}

// eventCount returns the number of whole events that the caller has of the stream.
func (o *outcome) eventCount() int {
	n := strings.Count(o.body, "\n\n")
	if o.resumed != nil {
		n += o.resumed.eventCount()
	}
	return n
}

// text returns the whole events in the answer.
func (o *outcome) text() string {
	i := strings.LastIndex(o.body, "\n\n")
	if i < 0 {
		return ""
	}
	return o.body[:i+2]
}

// software returns the version that wrote the first event of the stream; empty if there is none.
func (o *outcome) software() string {
	if o.resumed != nil {
		return o.resumed.software()
	}
	first, _, found := strings.Cut(o.body, "\n\n")
	if !found {
		return ""
	}
	v, _ := lo.Find(softwareVersions, func(v string) bool { return first+"\n\n" == mock.EventTextOf(v, o.attemptID, 0) })
	return v
}

// streamDefect is responseDefect for streams of eventCount events. All events must be of the version that
// wrote the first one.
func (o *outcome) streamDefect(eventCount int) string {
	begin := 0
	if o.resumed != nil {
		begin = o.resumed.eventCount()
	}
	versions := softwareVersions
	if v := o.software(); v != "" {
		versions = []string{v}
	}
	for _, v := range versions {
		var want strings.Builder
		for id := begin; id < eventCount; id++ {
			want.WriteString(mock.EventTextOf(v, o.attemptID, id))
		}
		if o.body == want.String() || !o.complete && strings.HasPrefix(want.String(), o.body) {
			return ""
		}
	}
	if o.complete {
		return fmt.Sprintf("whole stream from event %d of version %q is %q", begin, o.software(), o.body)
	}
	return fmt.Sprintf("broken stream from event %d of version %q begins %q", begin, o.software(), o.body)
}
