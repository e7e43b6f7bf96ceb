package ratelimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/ratelimit"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func rate(n core.Rate) *core.Rate { return &n }

// answer is an answer that arrives at a time.
type answer struct {
	sent, received float64
	startedAt      int64
	limit          *core.Rate
	want           ratelimit.Change
}

// Guards against a limit that ends by a response from before the limit, and against one that outlives
// the upstream.
func TestEndOfALimit(t *testing.T) {
	scenarios := []struct {
		testName string
		answers  []answer
		limited  int
	}{
		{"never reported", []answer{{0, 1, 1, nil, ratelimit.Unchanged}}, 0},
		{"reported again", []answer{{0, 1, 1, rate(2), ratelimit.Limited}, {1, 2, 1, rate(2), ratelimit.Unchanged}}, 1},
		{"changed", []answer{{0, 1, 1, rate(2), ratelimit.Limited}, {1, 2, 1, rate(3), ratelimit.Limited}}, 1},
		{"missing in a later response", []answer{{0, 1, 1, rate(2), ratelimit.Limited}, {1.1, 2, 1, nil, ratelimit.Lifted}}, 0},
		{"missing in a response that was in flight", []answer{{0, 1, 1, rate(2), ratelimit.Limited}, {0.5, 2, 1, nil, ratelimit.Unchanged}}, 1},
		{"raised by a response that was in flight when it was lowered", []answer{{0, 1, 1, rate(2), ratelimit.Limited}, {0.5, 2, 1, rate(3), ratelimit.Unchanged}}, 1},
		{"lowered by a response that was in flight", []answer{{0, 1, 1, rate(2), ratelimit.Limited}, {0.5, 2, 1, rate(1), ratelimit.Limited}}, 1},
		{"restarted", []answer{{0, 1, 1, rate(2), ratelimit.Limited}, {0.5, 2, 2, nil, ratelimit.Unchanged}}, 0},
		{"of an earlier incarnation", []answer{{0, 1, 2, rate(2), ratelimit.Limited}, {0.5, 2, 1, rate(9), ratelimit.Unchanged}, {1.5, 2, 1, nil, ratelimit.Unchanged}}, 1},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			tr := ratelimit.New("self", func() []core.ProcessID { return nil })
			var ho core.Host
			for _, an := range sc.answers {
				newest := core.Host{ID: "up", StartedAt: an.startedAt}
				if newest.StartedAt > ho.StartedAt {
					ho = newest
				}
				assert.Equal(t, tr.Observe(at(an.received), ratelimit.Observation{Host: newest, Sent: at(an.sent), Limit: an.limit}), an.want)
			}
			assert.Equal(t, tr.Count(at(3), []core.Host{ho}), sc.limited)
			tr.Forget("up")
			assert.Equal(t, tr.Count(at(3), []core.Host{ho}), 0)
		})
	}
}

// Guards against entries that take a limit for another one after it was rounded in a message, and
// announce the change to one another for ever.
func TestRoundedLimitIsTheSame(t *testing.T) {
	third := core.Rate(1) / 3
	tr := ratelimit.New("self", func() []core.ProcessID { return nil })
	ho := core.Host{ID: "up"}
	assert.Equal(t, tr.Observe(at(1), ratelimit.Observation{Host: ho, Sent: at(0), Limit: &third}), ratelimit.Limited)
	no := tr.TakeNotices(at(1))[0]
	rounded := ratelimit.FromThousandths(ratelimit.Thousandths(*no.Limit))
	no.Limit = &rounded
	assert.Equal(t, len(tr.ReceiveNotices(at(2), []ratelimit.Notice{no})), 0)
	assert.Equal(t, tr.Observe(at(3), ratelimit.Observation{Host: ho, Sent: at(2), Limit: &third}), ratelimit.Unchanged)
	assert.Equal(t, len(tr.TakeNotices(at(3))), 0)
}
