package matrix_test

import (
	"testing"

	"skylarkstand/test/matrix"
)

// A fault is injected while a request is at each step: a process dies or pauses, a link
// or the store fails, an operator makes a mistake. The caller must not receive a
// truncated answer that looks complete or a false statement of what ran, nothing may
// run or be billed twice, and the system must serve again afterwards.
func TestRequest(t *testing.T) {
	for _, st := range matrix.RequestSteps {
		for _, fa := range matrix.Faults {
			t.Run(st.Name+"/"+fa.Name, func(t *testing.T) {
				t.Parallel()
				runCell(t, st.Name, fa.Name)
			})
		}
	}
}

// Two faults overlap: the second is injected while the first lasts.
func TestPairs(t *testing.T) {
	for _, st := range matrix.PairSteps {
		for _, pa := range matrix.Pairs {
			t.Run(st+"/"+pa[0]+"+"+pa[1], func(t *testing.T) {
				t.Parallel()
				runCell(t, st, pa[0], pa[1])
			})
		}
	}
}

func runCell(t *testing.T, step string, names ...string) {
	fx := newFixture(t, step)
	release := steps[step](fx)
	var removals []func()
	for _, name := range names {
		removals = append(removals, faults[name](fx))
	}
	go release()
	for i := len(removals) - 1; i >= 0; i-- {
		removals[i]()
	}
	fx.check()
	fx.checkRecovery()
}

// checkRecovery checks that the other entry serves again once the fault was removed.
func (fx *fixture) checkRecovery() {
	fx.t.Helper()
	fx.poll("the other entry serves again", func() bool {
		rq := fx.chat(fx.other, "#words=1 ", true)
		<-rq.done
		return rq.reply != nil && rq.reply.Complete
	})
}
