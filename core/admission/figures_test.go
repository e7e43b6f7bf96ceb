package admission_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/admission"
	"skylarkstand/test/figure"
)

func measuring(t *testing.T) {
	if os.Getenv("SKYLARKSTAND_MEASURE") != "1" {
		t.Skip("make measure prints the figures")
	}
}

var baselines = []string{"round-robin", "least-loaded", "random"}

func TestFiguresLoadSaturation(t *testing.T) {
	measuring(t)
	late, missed := 0, 0
	for _, sh := range shapes() {
		sit := sh.make()
		full := simulate(sit, policy{})
		triple := simulate(sit.at(3), policy{})
		figure.AtLeast("goodput-3x-over-1x-"+sh.name, triple.goodput()/full.goodput(), "ratio", 0.95)
		figure.AtLeast("tokens-in-time-3x-over-1x-"+sh.name, triple.goodUnits()/full.goodUnits(), "ratio", 0.95)
		fifoFull, fifo := simulate(sit, policy{fifo: true}), simulate(sit.at(3), policy{fifo: true})
		figure.Plain("goodput-3x-over-1x-fifo-"+sh.name, fifo.goodput()/fifoFull.goodput(), "ratio")
		figure.Plain("tokens-in-time-3x-over-1x-fifo-"+sh.name, fifo.goodUnits()/fifoFull.goodUnits(), "ratio")
		for _, ou := range []*outcome{full, simulate(sit.at(2), policy{}), triple, simulate(sit.at(2).with(func(si *situation) { si.burst = 5 }), policy{}), simulate(sit.at(0.8).hog(), policy{})} {
			late += ou.late()
			missed += ou.count(expired)
		}
	}
	figure.AtMost("refusals-late", float64(late), "count", 0)
	figure.Plain("admitted-and-missed-deadline", float64(missed), "count")
	lateMixed, refusedMixed := 0, 0
	for _, sh := range shapes() {
		ou := simulate(sh.make().at(2).mixed(), policy{})
		lateMixed += ou.late()
		refusedMixed += ou.count(refused)
	}
	figure.AtMost("refusals-late-mixed-work", float64(lateMixed), "count", 0)
	figure.Plain("refusals-mixed-work", float64(refusedMixed), "count")
}

func TestFiguresLoadSlowUpstream(t *testing.T) {
	measuring(t)
	for _, sh := range shapes() {
		// A pool of three has a third of its capacity less; at 0.4 the two
		// others can still do the work.
		load := 0.6
		if len(sh.make().sites) == 3 && sh.make().sites[0].upstreams == 1 {
			load = 0.4
		}
		sit := sh.make().at(load)
		slow := sit.with(func(sit *situation) { sit.slow = 10 })
		for _, pl := range append([]string{""}, baselines...) {
			sound, ill := simulate(sit, policy{place: pl}), simulate(slow, policy{place: pl})
			wholes := ill.percentile(0.99, "", whole) / sound.percentile(0.99, "", whole)
			firsts := ill.percentile(0.99, "", first) / sound.percentile(0.99, "", first)
			if pl == "" {
				figure.AtMost("p99-with-slow-upstream-over-without-"+sh.name, wholes, "ratio", 1.5)
				figure.AtMost("p99-first-token-with-slow-upstream-over-without-"+sh.name, firsts, "ratio", 1.5)
				continue
			}
			figure.Plain("p99-with-slow-upstream-over-without-"+pl+"-"+sh.name, wholes, "ratio")
		}
	}
}

func TestFiguresLoadHog(t *testing.T) {
	measuring(t)
	for _, sh := range shapes() {
		sit := sh.make().at(0.6)
		calm, hog := simulate(sit, policy{}), simulate(sit.hog(), policy{})
		figure.AtMost("harm-p95-of-hog-"+sh.name, hog.percentile(0.95, "w9", whole)/calm.percentile(0.95, "w9", whole), "ratio", 1.10)
		figure.AtMost("harm-p95-first-token-of-hog-"+sh.name, hog.percentile(0.95, "w9", first)/calm.percentile(0.95, "w9", first), "ratio", 1.10)
		fifoCalm, fifo := simulate(sit, policy{fifo: true}), simulate(sit.hog(), policy{fifo: true})
		figure.Plain("harm-p95-of-hog-fifo-"+sh.name, fifo.percentile(0.95, "w9", whole)/fifoCalm.percentile(0.95, "w9", whole), "ratio")
	}
}

func TestFiguresLoadRetries(t *testing.T) {
	measuring(t)
	for _, sh := range shapes() {
		sit := sh.make().at(3)
		figure.AtMost("retry-amplification-3x-"+sh.name, simulate(sit, policy{}).amplified(), "ratio", 1.1)
		failing := sit.with(func(sit *situation) { sit.failing = 0.2 })
		figure.AtMost("retry-amplification-3x-failing-"+sh.name, simulate(failing, policy{}).amplified(), "ratio", 1.1)
		figure.Plain("retry-amplification-3x-failing-no-budget-"+sh.name, simulate(failing, policy{retries: true}).amplified(), "ratio")
	}
}

// The situations with no bound of their own, beside the baselines.
func TestFiguresLoadSituations(t *testing.T) {
	measuring(t)
	situations := []struct {
		name   string
		load   float64
		change func(*situation)
	}{
		{"half-lost", 0.8, func(sit *situation) { sit.lostHalf = true }},
		{"region-cut", 0.6, func(sit *situation) { sit.cut = true }},
		{"burst", 0.7, func(sit *situation) { sit.burst = 5 }},
		{"mixed-2x", 2, func(sit *situation) { *sit = sit.mixed() }},
		{"stale", 0.8, func(sit *situation) { sit.stale = true }},
	}
	for _, st := range situations {
		for _, sh := range []namedShape{{"landesamt-drafter", landesamt}, {"association-lm", association}} {
			sit := sh.make().at(st.load).with(st.change)
			policies := map[string]policy{"product": {}, "fifo": {fifo: true}}
			for _, pl := range baselines {
				policies[pl] = policy{place: pl}
			}
			for _, name := range append([]string{"product", "fifo"}, baselines...) {
				ou := simulate(sit, policies[name])
				label := fmt.Sprintf("%s-%s-%s", st.name, sh.name, name)
				figure.Plain("in-time-"+label, float64(ou.count(answered))/float64(len(ou.requests)), "ratio")
				figure.Plain("p50-first-token-"+label, ou.percentile(0.5, "", first), "s")
				figure.Plain("p95-first-token-"+label, ou.percentile(0.95, "", first), "s")
				figure.Plain("p99-first-token-"+label, ou.percentile(0.99, "", first), "s")
				if name == "product" {
					figure.Plain("crossed-"+label, float64(ou.crossed)/sit.length.Seconds(), "byte/s")
				}
			}
		}
	}
}

func TestFiguresLoadAdmissionCost(t *testing.T) {
	measuring(t)
	res := testing.Benchmark(admitting)
	if res.N == 0 {
		t.Fatal("the benchmark broke off")
	}
	figure.AtMost("admission-1000-workspaces", float64(res.NsPerOp())/1000, "us", 1)
	figure.AtMost("admission-1000-workspaces-allocations", float64(res.AllocsPerOp()), "count", 0)
}

// admitting is one request through a full controller of 1,000 workspaces that
// all wait: its arrival, the end of another one, and the start of the next.
func admitting(bb *testing.B) {
	con := admission.New(admission.Room{Places: 1000, Slots: 1000}, admission.MaxWait(time.Hour), admission.MaxQueue(1<<20))
	names := make([]core.WorkspaceID, 1000)
	for ix := range names {
		names[ix] = core.WorkspaceID(fmt.Sprintf("workspace-%d", ix))
	}
	now := time.Unix(0, 0)
	running := make([]*admission.Ticket, 0, 4096)
	offer := func(ix int) {
		ti, start, fl := con.Offer(now, admission.Work{Workspace: names[ix%1000], Share: 1, Prompt: 500})
		if fl == nil && start {
			running = append(running, ti)
		}
	}
	for ix := range 8000 {
		offer(ix)
	}
	us := &core.Usage{Prompt: 500, Generated: 128}
	bb.ReportAllocs()
	bb.ResetTimer()
	for ix := range bb.N {
		now = now.Add(time.Millisecond)
		offer(ix)
		con.Leave(now, running[ix%len(running)], us)
		ti, start := con.Next(now)
		if !start {
			bb.Fatal("nothing started")
		}
		running[ix%len(running)] = ti
	}
}
