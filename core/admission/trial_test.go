package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, sh := range shapes() {
		sit := sh.make()
		for _, load := range []float64{0.7, 1, 2, 3} {
			for _, pol := range []policy{{}, {fifo: true}} {
				ou := simulate(sit.at(load), pol)
				fmt.Printf("%s load %g fifo %v: n %d good %.2f units %.0f refused %d late %d expired %d p50f %.3f p95f %.3f p99f %.3f p95w %.2f amp %.3f cross %d\n", sh.name, load, pol.fifo, len(ou.requests), ou.goodput(), ou.goodUnits(), ou.count(refused), ou.late(50*time.Millisecond), ou.count(expired),
					ou.percentile(.5, "", first), ou.percentile(.95, "", first), ou.percentile(.99, "", first), ou.percentile(.95, "", whole), ou.amplified(), ou.crossed)
			}
		}
		for _, pl := range []string{"", "round-robin", "least-loaded", "random"} {
			a := simulate(sit.at(.6), policy{place: pl})
			b := simulate(sit.at(.6).with(func(s *situation) { s.slow = 10 }), policy{place: pl})
			fmt.Printf("  slow %q: first %.3f -> %.3f whole %.3f -> %.3f  exp %d ref %d\n", pl, a.percentile(.99, "", first), b.percentile(.99, "", first), a.percentile(.99, "", whole), b.percentile(.99, "", whole), b.count(expired), b.count(refused))
		}
		for _, pol := range []policy{{}, {fifo: true}} {
			a := simulate(sit.at(.6), pol)
			b := simulate(sit.at(.6).hog(10), pol)
			var ew, aw []float64
			for _, rq := range b.requests {
				if rq.ten.id != "w9" && rq.end == answered {
					ew = append(ew, rq.entryWait.Seconds())
					aw = append(aw, (rq.first - rq.entryWait).Seconds())
				}
			}
			slices.Sort(ew)
			slices.Sort(aw)
			fmt.Printf("  hog entry p50 %.3f p95 %.3f agent p50 %.3f p95 %.3f\n", ew[len(ew)/2], ew[len(ew)*95/100], aw[len(aw)/2], aw[len(aw)*95/100])
			fmt.Printf("  hog fifo %v: first %.3f -> %.3f whole %.3f -> %.3f\n", pol.fifo, a.percentile(.95, "w9", first), b.percentile(.95, "w9", first), a.percentile(.95, "w9", whole), b.percentile(.95, "w9", whole))
		}
	}
}
