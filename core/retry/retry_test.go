package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/retry"
)

func refusal(code core.Code) *core.Failure { return core.Refuse(code, 0, "refused") }

func TestMayRetry(t *testing.T) {
	lost := core.OutcomeUnknown("the link broke")
	scenarios := []struct {
		testName   string
		failures   []*core.Failure
		repeatable bool
		want       []bool
	}{
		{"an overloaded pool gets no third attempt", []*core.Failure{refusal(core.CodeOverloaded), refusal(core.CodeOverloaded)}, true, []bool{true, false}},
		{"leaving upstreams cost nothing", []*core.Failure{refusal(core.CodeLeaving), refusal(core.CodeLeaving), refusal(core.CodeLeaving)}, false, []bool{true, true, false}},
		{"repeatable work is retried after an unknown outcome", []*core.Failure{lost}, true, []bool{true}},
		{"at-most-once work is not retried after an unknown outcome", []*core.Failure{lost}, false, []bool{false}},
		{"the caller's own error is not retried", []*core.Failure{refusal(core.CodeNotAllowed)}, true, []bool{false}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			at := retry.NewAttempts(retry.NewBudget())
			for ix, fl := range sc.failures {
				assert.Equal(t, at.MayRetry(fl, sc.repeatable), sc.want[ix])
			}
		})
	}
}

// All upstreams of a version fail at once. Guards against three attempts for each request: the
// pool would get three times its work just then, and callers would wait three times as long for
// the same failure.
func TestBudgetBoundsRetriesOfAFailingPool(t *testing.T) {
	bu := retry.NewBudget()
	retries := func(requests int) (sum int) {
		for range requests {
			at := retry.NewAttempts(bu)
			if at.MayRetry(core.OutcomeUnknown("lost"), true) {
				sum++
			}
		}
		return sum
	}
	assert.Assert(t, retries(1000) <= 32)
	for range 200 {
		bu.Succeeded()
	}
	got := retries(1000)
	assert.Assert(t, got >= 19 && got <= 20, "%d retries for 200 successes", got)
}
