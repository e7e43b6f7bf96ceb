package canary_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/canary"
)

// remoteEntry is another entry behind a slow network.
type remoteEntry struct{ gu *canary.Guard }

func (re remoteEntry) Reports(context.Context) []canary.Report {
	time.Sleep(100 * time.Millisecond)
	out := re.gu.Reports(time.Now())
	time.Sleep(50 * time.Millisecond)
	return out
}

// Entries exchange how long a roll-out has been in progress, over a network with delays. No round
// may make the elapsed time appear longer: accumulated over a minute, a roll-out would take its
// last step seconds too early, and a version whose fault shows only then would receive more
// requests than operators allow.
func TestMergedElapsedTimeIsNotInflated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := canary.New(), canary.New()
		began := time.Now()
		for _, gu := range []*canary.Guard{one, two} {
			gu.Order(began, canary.Order{Service: service, Target: v2, Duration: time.Minute, Revision: 5})
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, co := range []*canary.Collector{canary.NewCollector(one, remoteEntry{two}), canary.NewCollector(two, remoteEntry{one})} {
			go func() { _ = co.Serve(ctx) }()
		}
		time.Sleep(30 * time.Second)
		for _, gu := range []*canary.Guard{one, two} {
			elapsed := time.Duration(gu.Reports(time.Now())[0].Elapsed) * time.Millisecond
			assert.Assert(t, elapsed <= 30*time.Second, "elapsed time is %s after thirty seconds", elapsed)
		}
		// A restarted entry takes the elapsed time from the other one.
		late := canary.New()
		late.Order(time.Now(), canary.Order{Service: service, Target: v2, Duration: time.Minute, Revision: 5})
		go func() { _ = canary.NewCollector(late, remoteEntry{one}).Serve(ctx) }()
		time.Sleep(2 * time.Second)
		elapsed := time.Duration(late.Reports(time.Now())[0].Elapsed) * time.Millisecond
		assert.Assert(t, elapsed > 31*time.Second && elapsed <= 32*time.Second, "elapsed time is %s after 32 seconds", elapsed)
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
	})
}
