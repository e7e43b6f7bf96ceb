package matrix_test

import (
	"testing"

	"skylarkstand/test/matrix"
)

// A request is at some step when something fails: a process dies or sleeps, a
// link or the store goes away, an operator makes a mistake. Whatever it is, the
// caller must not get half an answer for a whole one or a lie about what ran,
// nothing may run or be billed twice, and afterwards the system serves again.
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

// Two faults meet: the second strikes while the first lasts.
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
	wo := newWorld(t, step)
	release := steps[step](wo)
	var heal []func()
	for _, name := range names {
		heal = append(heal, faults[name](wo))
	}
	go release()
	for i := len(heal) - 1; i >= 0; i-- {
		heal[i]()
	}
	wo.check()
	wo.checkServes()
}

// checkServes: once the fault is over, what still stands serves again.
func (wo *world) checkServes() {
	wo.t.Helper()
	wo.poll("the other entry serves", func() bool {
		as := wo.chat(wo.two, "#words=1 ", true)
		<-as.done
		return as.reply != nil && as.reply.Whole
	})
}
