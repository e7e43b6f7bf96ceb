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

func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("SKYLARKSTAND_MEASURE") != "1" {
		t.Skip("set SKYLARKSTAND_MEASURE=1 or run make measure to print the figures")
	}
}

var baselines = []string{"round-robin", "least-loaded", "random"}

func TestFiguresLoadSaturation(t *testing.T) {
	skipUnlessMeasuring(t)
	late, missed := 0, 0
	for _, sh := range shapes() {
		sc := sh.make()
		full := simulate(sc, policy{})
		triple := simulate(sc.atLoad(3), policy{})
		figure.AtLeast("goodput-3x-over-1x-"+sh.name, triple.goodput()/full.goodput(), "ratio", 0.95)
		figure.AtLeast("tokens-in-time-3x-over-1x-"+sh.name, triple.goodTokens()/full.goodTokens(), "ratio", 0.95)
		fifoFull, fifo := simulate(sc, policy{fifo: true}), simulate(sc.atLoad(3), policy{fifo: true})
		figure.Unbounded("goodput-3x-over-1x-fifo-"+sh.name, fifo.goodput()/fifoFull.goodput(), "ratio")
		figure.Unbounded("tokens-in-time-3x-over-1x-fifo-"+sh.name, fifo.goodTokens()/fifoFull.goodTokens(), "ratio")
		for _, ou := range []*outcome{full, simulate(sc.atLoad(2), policy{}), triple, simulate(sc.atLoad(2).with(func(si *scenario) { si.burst = 5 }), policy{}), simulate(sc.atLoad(0.8).withNoisyWorkspace(), policy{})} {
			late += ou.lateRefusals()
			missed += ou.count(expired)
		}
	}
	figure.AtMost("refusals-late", float64(late), "count", 0)
	figure.Unbounded("admitted-and-missed-deadline", float64(missed), "count")
	lateMixed, refusedMixed := 0, 0
	for _, sh := range shapes() {
		ou := simulate(sh.make().atLoad(2).withMixedSizes(), policy{})
		lateMixed += ou.lateRefusals()
		refusedMixed += ou.count(refused)
	}
	figure.AtMost("refusals-late-mixed-work", float64(lateMixed), "count", 0)
	figure.Unbounded("refusals-mixed-work", float64(refusedMixed), "count")
}

func TestFiguresLoadSlowUpstream(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, sh := range shapes() {
		// A slow upstream costs a pool of three a third of its capacity; at 0.4
		// the other two can still serve the load.
		load := 0.6
		if len(sh.make().sites) == 3 && sh.make().sites[0].upstreams == 1 {
			load = 0.4
		}
		sc := sh.make().atLoad(load)
		slow := sc.with(func(sc *scenario) { sc.slow = 10 })
		for _, pl := range append([]string{""}, baselines...) {
			healthy, degraded := simulate(sc, policy{balancing: pl}), simulate(slow, policy{balancing: pl})
			totalRatio := degraded.percentile(0.99, "", whole) / healthy.percentile(0.99, "", whole)
			firstTokenRatio := degraded.percentile(0.99, "", first) / healthy.percentile(0.99, "", first)
			if pl == "" {
				figure.AtMost("p99-with-slow-upstream-over-without-"+sh.name, totalRatio, "ratio", 1.5)
				figure.AtMost("p99-first-token-with-slow-upstream-over-without-"+sh.name, firstTokenRatio, "ratio", 1.5)
				continue
			}
			figure.Unbounded("p99-with-slow-upstream-over-without-"+pl+"-"+sh.name, totalRatio, "ratio")
		}
	}
}

func TestFiguresLoadNoisyWorkspace(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, sh := range shapes() {
		sc := sh.make().atLoad(0.6)
		quiet, noisy := simulate(sc, policy{}), simulate(sc.withNoisyWorkspace(), policy{})
		figure.AtMost("harm-p95-of-hog-"+sh.name, noisy.percentile(0.95, "w9", whole)/quiet.percentile(0.95, "w9", whole), "ratio", 1.10)
		figure.AtMost("harm-p95-first-token-of-hog-"+sh.name, noisy.percentile(0.95, "w9", first)/quiet.percentile(0.95, "w9", first), "ratio", 1.10)
		fifoQuiet, fifo := simulate(sc, policy{fifo: true}), simulate(sc.withNoisyWorkspace(), policy{fifo: true})
		figure.Unbounded("harm-p95-of-hog-fifo-"+sh.name, fifo.percentile(0.95, "w9", whole)/fifoQuiet.percentile(0.95, "w9", whole), "ratio")
	}
}

func TestFiguresLoadRetries(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, sh := range shapes() {
		sc := sh.make().atLoad(3)
		figure.AtMost("retry-amplification-3x-"+sh.name, simulate(sc, policy{}).attemptsPerRequest(), "ratio", 1.1)
		failing := sc.with(func(sc *scenario) { sc.failing = 0.2 })
		figure.AtMost("retry-amplification-3x-failing-"+sh.name, simulate(failing, policy{}).attemptsPerRequest(), "ratio", 1.1)
		figure.Unbounded("retry-amplification-3x-failing-no-budget-"+sh.name, simulate(failing, policy{retries: true}).attemptsPerRequest(), "ratio")
	}
}

// Prints the scenarios that have no bound of their own, next to the baselines.
func TestFiguresLoadScenarios(t *testing.T) {
	skipUnlessMeasuring(t)
	cases := []struct {
		name   string
		load   float64
		change func(*scenario)
	}{
		{"half-lost", 0.8, func(sc *scenario) { sc.halfLost = true }},
		{"region-cut", 0.6, func(sc *scenario) { sc.partitioned = true }},
		{"burst", 0.7, func(sc *scenario) { sc.burst = 5 }},
		{"mixed-2x", 2, func(sc *scenario) { *sc = sc.withMixedSizes() }},
		{"stale", 0.8, func(sc *scenario) { sc.stale = true }},
	}
	for _, st := range cases {
		for _, sh := range []poolShape{{"landesamt-drafter", landesamt}, {"association-lm", association}} {
			sc := sh.make().atLoad(st.load).with(st.change)
			policies := map[string]policy{"product": {}, "fifo": {fifo: true}}
			for _, pl := range baselines {
				policies[pl] = policy{balancing: pl}
			}
			for _, name := range append([]string{"product", "fifo"}, baselines...) {
				ou := simulate(sc, policies[name])
				label := fmt.Sprintf("%s-%s-%s", st.name, sh.name, name)
				figure.Unbounded("in-time-"+label, float64(ou.count(answered))/float64(len(ou.requests)), "ratio")
				figure.Unbounded("p50-first-token-"+label, ou.percentile(0.5, "", first), "s")
				figure.Unbounded("p95-first-token-"+label, ou.percentile(0.95, "", first), "s")
				figure.Unbounded("p99-first-token-"+label, ou.percentile(0.99, "", first), "s")
				if name == "product" {
					figure.Unbounded("crossed-"+label, float64(ou.crossRegionBytes)/sc.length.Seconds(), "byte/s")
				}
			}
		}
	}
}

func TestFiguresLoadAdmissionCost(t *testing.T) {
	skipUnlessMeasuring(t)
	res := testing.Benchmark(benchmarkAdmission)
	if res.N == 0 {
		t.Fatal("the benchmark of an admission failed before it finished")
	}
	figure.AtMost("admission-1000-workspaces", float64(res.NsPerOp())/1000, "us", 1)
	figure.AtMost("admission-1000-workspaces-allocations", float64(res.AllocsPerOp()), "count", 0)
}

// benchmarkAdmission measures one request through a full controller of 1,000
// workspaces that all have requests waiting: its arrival, the end of another
// request, and the start of the next.
func benchmarkAdmission(bb *testing.B) {
	con := admission.New(admission.Capacity{EntrySlots: 1000, TotalSlots: 1000}, admission.MaxWait(time.Hour), admission.MaxQueue(1<<20))
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
			bb.Fatal("Leave freed a slot, but Next started no request")
		}
		running[ix%len(running)] = ti
	}
}
