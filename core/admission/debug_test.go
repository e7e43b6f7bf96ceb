package admission_test

import (
	"fmt"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	for _, sh := range shapes() {
		ou := simulate(sh.make().at(3), policy{})
		n := 0
		for _, rq := range ou.requests {
			if rq.end == refused && rq.ended-rq.arrived > 50*time.Millisecond && n < 12 {
				n++
				fmt.Println(sh.name, rq.ten.id, "at", rq.arrived.Seconds(), "ended after", (rq.ended - rq.arrived).Seconds(), "dispatch", rq.dispatch, "output", rq.output, "entrywait", rq.entryWait.Seconds())
			}
		}
		var ws []float64
		for _, rq := range ou.requests {
			if rq.end == answered {
				ws = append(ws, rq.entryWait.Seconds())
			}
		}
	}
}
