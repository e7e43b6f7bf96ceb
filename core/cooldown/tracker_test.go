package cooldown_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/cooldown"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against a cooldown that ends early, by a later refusal with a shorter time or by one of an
// earlier incarnation, and against one that outlives the upstream.
func TestEndOfACooldown(t *testing.T) {
	type refusal struct {
		at         float64
		startedAt  int64
		retryAfter time.Duration
	}
	scenarios := []struct {
		testName string
		refusals []refusal
		until    float64
	}{
		{"never", nil, 0},
		{"one refusal", []refusal{{0, 7, 3 * time.Second}}, 3},
		{"a later one with a longer time", []refusal{{0, 7, 3 * time.Second}, {1, 7, 3 * time.Second}}, 4},
		{"a later one with a shorter time", []refusal{{0, 7, 3 * time.Second}, {1, 7, time.Second}}, 3},
		{"of an earlier incarnation", []refusal{{0, 7, 3 * time.Second}, {1, 6, 9 * time.Second}}, 3},
		{"only of an earlier incarnation", []refusal{{0, 6, 3 * time.Second}}, 0},
		{"of a new incarnation", []refusal{{0, 6, 9 * time.Second}, {1, 7, time.Second}}, 2},
	}
	host := core.Host{ID: "up", StartedAt: 7}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			tr := cooldown.New()
			for _, re := range sc.refusals {
				tr.Begin(at(re.at), &core.Host{ID: "up", StartedAt: re.startedAt}, re.retryAfter)
			}
			hosts := []core.Host{host, {ID: "other"}}
			for now := 1.0; now < 10; now += 0.25 {
				cooling := len(tr.Available(at(now), hosts)) == 1
				assert.Equal(t, cooling, now < sc.until, "at %v s", now)
				left := max(sc.until-now, 0)
				assert.Equal(t, tr.Remaining(at(now), hosts[:1]), time.Duration(left*float64(time.Second)))
				assert.Equal(t, tr.Remaining(at(now), hosts), time.Duration(0))
			}
			tr.Forget("up")
			assert.Equal(t, len(tr.Available(at(1), hosts)), 2)
		})
	}
}
