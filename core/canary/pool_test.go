package canary_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/canary"
)

// far is another entry that is asked over a slow way.
type far struct{ gu *canary.Guard }

func (fa far) Reports(context.Context) []canary.Report {
	time.Sleep(100 * time.Millisecond)
	out := fa.gu.Reports(time.Now())
	time.Sleep(50 * time.Millisecond)
	return out
}

// Entries tell one another how long a roll-out has been going on, over ways that
// take a while. Each round must not make it look longer: added up over a minute,
// a roll-out would take its last step seconds too soon, and a bad version that
// shows only then would get more requests than operators allow.
func TestToldTimeDoesNotRunAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := canary.New(), canary.New()
		began := time.Now()
		for _, gu := range []*canary.Guard{one, two} {
			gu.Order(began, canary.Order{Service: service, Target: v2, Duration: time.Minute, Revision: 5})
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, po := range []*canary.Pooler{canary.NewPooler(one, far{two}), canary.NewPooler(two, far{one})} {
			go func() { _ = po.Serve(ctx) }()
		}
		time.Sleep(30 * time.Second)
		for _, gu := range []*canary.Guard{one, two} {
			elapsed := time.Duration(gu.Reports(time.Now())[0].Elapsed) * time.Millisecond
			assert.Assert(t, elapsed <= 30*time.Second, "%s after thirty seconds", elapsed)
		}
		// One that was restarted hears of the time from the other.
		late := canary.New()
		late.Order(time.Now(), canary.Order{Service: service, Target: v2, Duration: time.Minute, Revision: 5})
		go func() { _ = canary.NewPooler(late, far{one}).Serve(ctx) }()
		time.Sleep(2 * time.Second)
		elapsed := time.Duration(late.Reports(time.Now())[0].Elapsed) * time.Millisecond
		assert.Assert(t, elapsed > 31*time.Second && elapsed <= 32*time.Second, "%s", elapsed)
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
	})
}
