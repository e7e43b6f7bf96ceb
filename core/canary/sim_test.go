package canary_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/canary"
)

// fault makes the new version bad: it returns whether an answer fails and how
// many times slower it is, by its route and the time since the order.
type fault func(rnd *rand.Rand, route int, since time.Duration, step int) (fails bool, slower float64)

// trial plays one roll-out over several entries, without sockets or clocks.
type trial struct {
	seed     uint64
	entries  int
	rate     float64 // requests a second, of all entries
	exposure float64
	duration time.Duration
	fault    fault
	// deaf cuts the entries off from one another and from the store.
	deaf bool
	// asks is how many others an entry asks in each round; 0 is all of them.
	asks int
	// roams has the requests of a session come to any entry.
	roams bool
	// restart starts an entry anew at a time, knowing nothing.
	restart time.Duration
}

// result is what came of it.
type result struct {
	state      canary.State
	at         time.Duration
	sent, all  int
	bad        int
	afterBad   time.Duration // from the fiftieth bad answer to the last request
	wrongMoves int           // sessions that changed versions in the first half
	backToOld  int           // sessions that went back without a roll-back
}

const (
	service = core.ServiceID("drafter")
	v1      = core.VersionID("v1")
	v2      = core.VersionID("v2")
)

type store struct {
	rev    core.Revision
	status canary.Status
	step   canary.Step
}

func hosts() []core.Host {
	var out []core.Host
	for i := range 6 {
		out = append(out,
			core.Host{ID: core.UpstreamID(fmt.Sprint("old-", i)), Service: service, Version: v1},
			core.Host{ID: core.UpstreamID(fmt.Sprint("new-", i)), Service: service, Version: v2})
	}
	return out
}

type flight struct {
	ends    time.Time
	entry   int
	session core.SessionID
	host    core.Host
	ou      canary.Outcome
}

// play runs the trial and returns the result.
func (tr trial) play(t *testing.T) result {
	t.Helper()
	rnd := rand.New(rand.NewPCG(tr.seed, 7))
	start := time.Unix(1_000_000, 0)
	const before = 10 * time.Second
	ordered := start.Add(before)
	order := canary.Order{Service: service, Target: v2, Duration: tr.duration, Revision: 10}
	st := store{rev: 10}
	newGuard := func() *canary.Guard { return canary.New(canary.Exposure(tr.exposure)) }
	gus := make([]*canary.Guard, tr.entries)
	for i := range gus {
		gus[i] = newGuard()
	}
	all := hosts()
	var flights []flight
	type seen struct {
		version core.VersionID
		at      time.Time
	}
	sessions := map[core.SessionID]seen{}
	var re result
	var fiftieth time.Time
	const tick = 10 * time.Millisecond
	steps := int((before + tr.duration + 2*time.Second) / tick)
	for n := range steps {
		now := start.Add(time.Duration(n) * tick)
		since := now.Sub(ordered)
		if since == 0 {
			for _, gu := range gus {
				gu.Order(now, order)
			}
		}
		if tr.restart > 0 && since == tr.restart {
			gus[0] = newGuard()
			gus[0].Order(now, order)
			gus[0].Status(st.status)
			gus[0].Step(now, st.step)
		}
		if !tr.deaf && n%100 == 0 {
			var reports []canary.Report
			for _, gu := range gus {
				reports = append(reports, gu.Reports(now)...)
			}
			for i, gu := range gus {
				// A guard does not hear itself.
				var others []canary.Report
				for j, rp := range reports {
					if j != i {
						others = append(others, rp)
					}
				}
				if tr.asks > 0 && tr.asks < len(others) {
					first := n / 100 * tr.asks % len(others)
					others = append(others[first:], others[:first]...)[:tr.asks]
				}
				gu.Pool(now, others)
			}
		}
		if since >= 0 && n%15 == 0 {
			tr.write(now, gus, &st, &re, since)
		}
		arrivals := 0
		for p := tr.rate * tick.Seconds(); p > 0; p-- {
			if rnd.Float64() < p {
				arrivals++
			}
		}
		for range arrivals {
			entry := rnd.IntN(tr.entries)
			// Sessions of a few requests, mostly at one entry.
			se := core.SessionID(fmt.Sprint("s", int(now.Sub(start).Seconds())/4, "-", entry, "-", rnd.IntN(12)))
			if tr.roams {
				se = core.SessionID(fmt.Sprint("s", int(now.Sub(start).Seconds())/8, "-", rnd.IntN(int(6*tr.rate))))
			}
			gu := gus[entry]
			ups := gu.Choose(now, service, se, rnd.Float64(), canary.Unrestricted(all), true)
			if len(ups) == 0 {
				continue
			}
			ho := ups[rnd.IntN(len(ups))]
			gu.Sent(now, se, ho)
			old, known := sessions[se]
			if known && now.Sub(old.at) < 5*time.Second && since > 0 {
				if ho.Version == v2 && old.version == v1 && since < tr.duration/2 {
					re.wrongMoves++
				}
				if ho.Version == v1 && old.version == v2 && st.status.State != canary.RolledBack && re.state != canary.RolledBack {
					re.backToOld++
				}
			}
			sessions[se] = seen{ho.Version, now}
			if since >= 0 && since < tr.duration {
				re.all++
				if ho.Version == v2 {
					re.sent++
				}
			}
			if !fiftieth.IsZero() && ho.Version == v2 {
				re.afterBad = now.Sub(fiftieth)
			}
			route := rnd.IntN(3)
			pace := time.Duration(float64(20*time.Millisecond) * (0.7 + 0.8*rnd.Float64()))
			ou := canary.Outcome{Service: service, Version: ho.Version, Pool: fmt.Sprint(route), Piece: pace, Failed: rnd.Float64() < 0.01}
			if ho.Version == v2 {
				ou.Piece = ou.Piece * 6 / 10 // Its engines are idle.
				if tr.fault != nil {
					fails, slower := tr.fault(rnd, route, since, st.step.Step)
					ou.Failed = ou.Failed || fails
					if slower > 1 {
						ou.Piece = time.Duration(float64(ou.Piece) * slower)
					}
					if fails || slower > 2 {
						re.bad++
						if re.bad == 50 {
							fiftieth = now
						}
					}
				}
			}
			flights = append(flights, flight{now.Add(time.Duration(20 * float64(ou.Piece))), entry, se, ho, ou})
		}
		kept := flights[:0]
		for _, fl := range flights {
			if now.Before(fl.ends) {
				kept = append(kept, fl)
				continue
			}
			gus[fl.entry].Observe(fl.ou)
			gus[fl.entry].Ended(now, fl.session, fl.host)
		}
		flights = kept
	}
	return re
}

// write does what the guards find due, as the store would.
func (tr trial) write(now time.Time, gus []*canary.Guard, st *store, re *result, since time.Duration) {
	for rank, gu := range gus {
		for _, wr := range gu.Due(now, func(core.ServiceID) int { return rank }) {
			st.rev++
			switch {
			case wr.Status != nil && wr.Status.Revision == st.status.Revision:
				st.status = *wr.Status
				st.status.Revision = st.rev
				if re.state != wr.Status.State {
					re.state, re.at = wr.Status.State, since
				}
			case wr.Step != nil && wr.Step.Revision == st.step.Revision:
				st.step = *wr.Step
				st.step.Revision = st.rev
			}
		}
	}
	if tr.deaf {
		return
	}
	for _, gu := range gus {
		gu.Status(st.status)
		gu.Step(now, st.step)
	}
}

// within checks the bound that operators set.
func (re result) within(t *testing.T, exposure float64) {
	t.Helper()
	const slack = 30
	allowed := exposure*float64(re.all) + slack
	assert.Assert(t, float64(re.sent) <= allowed, "%d of %d requests reached it, allowed %.0f", re.sent, re.all, allowed)
}
