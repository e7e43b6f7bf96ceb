package canary

import (
	"context"
	"fmt"
	"maps"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

// Report is what an entry knows of a roll-out under way.
type Report struct {
	Service core.ServiceID `json:"service"`
	// Order is the revision of the order.
	Order core.Revision `json:"order"`
	// Elapsed is how long the order has been known, in milliseconds.
	Elapsed int64 `json:"elapsed-ms"`
	// Pools holds the evidence by route and model, and over all of them under
	// [overAll].
	Pools map[string]Tallies `json:"pools"`
	// Settled are the sessions of the first step that go on with the old version
	// there.
	Settled []core.SessionID `json:"settled,omitempty"`
}

// overAll names the evidence over all routes.
const overAll = ""

// Tallies is the evidence of both tests.
type Tallies struct {
	Fails Tally `json:"fails"`
	Slows Tally `json:"slows"`
}

// Tally is the evidence of one test.
type Tally struct {
	Sum  float64 `json:"sum"`
	Bad  int     `json:"bad"`
	Seen int     `json:"seen"`
}

// Entries are the other entries.
type Entries interface {
	// Reports returns what the others that answer know of roll-outs.
	Reports(ctx context.Context) []Report
}

// Reports lists the roll-outs that are under way.
func (gu *Guard) Reports(now time.Time) []Report {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []Report
	for sv, ro := range gu.rollouts {
		if ro.order.Revision == 0 || ro.final() {
			continue
		}
		out = append(out, Report{
			Service: sv, Order: ro.order.Revision, Elapsed: now.Sub(ro.began).Milliseconds(), Pools: ro.evidence.tallies(),
			Settled: gu.settledHere(now, ro),
		})
	}
	return out
}

// tallies returns the evidence of the pools that the new version had answers in.
func (ev *evidence) tallies() map[string]Tallies {
	out := map[string]Tallies{overAll: ev.all.tallies()}
	for name, co := range ev.pools {
		if co.fails.seen+co.slows.seen > 0 {
			out[name] = co.tallies()
		}
	}
	return out
}

func (co *compared) tallies() Tallies { return Tallies{co.fails.tally(), co.slows.tally()} }

func (te test) tally() Tally { return Tally{te.drift, te.bad, te.seen} }

// pooledVerdict is the sum of the entries' evidence at which a version is bad. A
// little more is asked of them together than of one alone, since each begins
// with what its first few answers happen to be.
const pooledVerdict = 7.0

// Pool takes in the others' reports, at a moment after they were made.
func (gu *Guard) Pool(now time.Time, reports []Report) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	for sv, ro := range gu.rollouts {
		if ro.order.Revision == 0 || ro.final() {
			continue
		}
		sums := ro.evidence.tallies()
		maps.DeleteFunc(ro.settled, func(_ core.SessionID, at time.Time) bool { return now.Sub(at) > gu.gap })
		for _, re := range reports {
			if re.Service != sv || re.Order != ro.order.Revision {
				continue
			}
			if began := now.Add(-time.Duration(re.Elapsed) * time.Millisecond); began.Before(ro.began) {
				ro.began = began
			}
			for _, se := range re.Settled {
				ro.settled[se] = now
			}
			if gu.off.Has(mechanism.PooledEvidence) {
				continue
			}
			for name, ta := range re.Pools {
				sum := sums[name]
				sum.Fails.add(ta.Fails)
				sum.Slows.add(ta.Slows)
				sums[name] = sum
			}
		}
		ro.doubt = 0
		for _, sum := range sums {
			if ro.bad == "" {
				ro.bad = pooled(sum.Fails, sum.Slows)
			}
			ro.doubt = max(ro.doubt, sum.Fails.Sum, sum.Slows.Sum)
		}
	}
}

func (ta *Tally) add(other Tally) {
	ta.Sum += other.Sum
	ta.Bad += other.Bad
	ta.Seen += other.Seen
}

// pooled returns why a version is bad by the evidence of all, or nothing.
func pooled(fails, slows Tally) string {
	switch {
	case fails.Sum >= pooledVerdict && fails.Bad >= leastBad:
		return fmt.Sprintf("%d of %d answers at all entries failed", fails.Bad, fails.Seen)
	case slows.Sum >= pooledVerdict && slows.Bad >= leastBad:
		return fmt.Sprintf("%d of %d answers at all entries were slow", slows.Bad, slows.Seen)
	}
	return ""
}

// Pooler is the duty that asks the others. It implements suture's Service.
type Pooler struct {
	gu  *Guard
	ens Entries
}

const (
	// poolEvery is how often the others are asked while a roll-out goes on. A
	// report is 200 bytes; at four entries this is 2 kB a second over all.
	poolEvery = time.Second
	poolLimit = 700 * time.Millisecond
)

// NewPooler returns the duty.
func NewPooler(gu *Guard, ens Entries) *Pooler { return &Pooler{gu: gu, ens: ens} }

// Serve implements suture's Service.
func (po *Pooler) Serve(ctx context.Context) error {
	ti := time.NewTicker(poolEvery)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
			if len(po.gu.Reports(time.Now())) > 0 {
				po.ask(ctx)
			}
		}
	}
}

func (po *Pooler) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, poolLimit)
	defer cancel()
	reports := po.ens.Reports(ctx)
	// As of now, and not of the question: the time that a report tells would
	// otherwise grow by the way here with every round.
	po.gu.Pool(time.Now(), reports)
}
