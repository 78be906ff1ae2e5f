package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/platform/mock"
)

// The bound for a deadly part counts from its fifth crash, and only for prompts that have the part
// before their last one.
func TestLateArrivals(t *testing.T) {
	start := time.Now()
	after := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	crashes := []time.Time{after(0), after(1), after(1.5), after(2), after(4), after(9)}
	for name, c := range map[string]struct {
		crashes []time.Time
		arrival mock.Arrival
		late    bool
	}{
		"after the bound":    {crashes, mock.Arrival{Parts: []string{"f", "dead", "own"}, At: after(7.1)}, true},
		"first part":         {crashes, mock.Arrival{Parts: []string{"dead", "own"}, At: after(20)}, true},
		"before the bound":   {crashes, mock.Arrival{Parts: []string{"f", "dead", "own"}, At: after(6.9)}, false},
		"four crashes":       {crashes[:4], mock.Arrival{Parts: []string{"f", "dead", "own"}, At: after(20)}, false},
		"another part":       {crashes, mock.Arrival{Parts: []string{"f", "s", "own"}, At: after(20)}, false},
		"as its last part":   {crashes, mock.Arrival{Parts: []string{"f", "dead"}, At: after(20)}, false},
		"without any prompt": {crashes, mock.Arrival{At: after(20)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.late, len(lateArrivals("dead", c.crashes, []mock.Arrival{c.arrival})) == 1)
		})
	}
}

// Arrivals don't count that a disturbed router sent, or that a faulty link may have delayed since
// before the bound.
func TestExcusedArrivals(t *testing.T) {
	start := time.Now()
	after := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		sentAt       time.Time
		disturbances []time.Time
		linkFaults   []linkFault
		excused      bool
	}{
		"no fault":                    {after(9.5), nil, nil, false},
		"router disturbed":            {after(9.5), []time.Time{after(7.5)}, nil, true},
		"router disturbed long ago":   {after(9.5), []time.Time{after(6.5)}, nil, false},
		"router disturbed later":      {after(9.5), []time.Time{after(10.5)}, nil, false},
		"link fault since the bound":  {after(9.5), nil, []linkFault{{after(9.6), after(9.9)}}, false},
		"link fault across the bound": {after(7), nil, []linkFault{{after(7.5), after(9.9)}}, true},
		"link fault long ago":         {after(7), nil, []linkFault{{after(5), after(6.5)}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{fleet: &fleet{
				runLog:   &mock.RunLog{},
				routers:  []*process{{name: "front", disturbances: c.disturbances}},
				replicas: []*replica{{Replica: &mock.Replica{}, linkFaults: c.linkFaults}},
			}}
			o := outcome{attemptID: "a", router: "front", sentAt: c.sentAt}
			assert.Equal(t, c.excused, h.isExcused(o, mock.Arrival{AttemptID: "a", At: after(10)}, after(8)))
		})
	}
}

// Only a request without a deadly part must not be refused because of its prompt.
func TestWronglyRefused(t *testing.T) {
	refused := outcome{status: 503, body: poisonReason + "\n"}
	assert.True(t, refused.wronglyRefused())
	for name, change := range map[string]func(o *outcome){
		"deadly":         func(o *outcome) { o.deadlyPart = "dead" },
		"another reason": func(o *outcome) { o.body = "too-late\n" },
		"served":         func(o *outcome) { o.status = 200 },
	} {
		t.Run(name, func(t *testing.T) {
			o := refused
			change(&o)
			assert.False(t, o.wronglyRefused())
		})
	}
}
