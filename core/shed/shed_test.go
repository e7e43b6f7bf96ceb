package shed_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/shed"
)

// pool is engines that read one prompt after the other. It is the load that
// callers meet: what comes waits until all before it was read.
type pool struct {
	now  time.Time
	free time.Time
	read time.Duration
}

func newPool() *pool {
	now := time.Unix(0, 0)
	return &pool{now: now, free: now, read: 20 * time.Millisecond}
}

func (po *pool) wait() time.Duration { return max(po.free.Sub(po.now), 0) }

// take reads a prompt and returns when its answer begins after it came.
func (po *pool) take() time.Duration {
	wait := po.wait()
	po.free = po.now.Add(wait + po.read)
	return wait + po.read
}

const (
	aim = 2 * time.Second
)

// counts is what callers got.
type counts struct{ came, inTime, refused int }

// overload plays times the load that a pool can carry for a while, for callers
// of three workspaces, of which the first sends more than the others.
func overload(times float64, hog float64, gate bool) map[core.WorkspaceID]*counts {
	po, ga, rn := newPool(), shed.New(), rand.New(rand.NewPCG(1, 2))
	out := map[core.WorkspaceID]*counts{"a": {}, "b": {}, "c": {}}
	every := time.Duration(float64(po.read) / times)
	for range int(20 * time.Second / every) {
		po.now = po.now.Add(time.Duration(2 * rn.Float64() * float64(every)))
		ws := core.WorkspaceID([]string{"a", "b", "c"}[rn.IntN(3)])
		if rn.Float64() < hog {
			ws = "a"
		}
		co := out[ws]
		co.came++
		rq := shed.Request{Wait: po.wait(), Aim: aim, Workspace: ws, Urgent: true, Draw: rn.Float64()}
		if _, ok := ga.Offer(po.now, rq); gate && !ok {
			co.refused++
			continue
		}
		if po.take() <= 3*aim+po.read {
			co.inTime++
		}
	}
	return out
}

func sum(all map[core.WorkspaceID]*counts) counts {
	var out counts
	for _, co := range all {
		out.came, out.inTime, out.refused = out.came+co.came, out.inTime+co.inTime, out.refused+co.refused
	}
	return out
}

// More callers come than the engines can answer, for twenty seconds. Without a
// bound those who come late wait behind all who came before, and nobody is
// answered in time any more; with it the engines go on answering as many as they
// can, and the others hear of it at once.
func TestOverloadLeavesThePoolToThoseInTime(t *testing.T) {
	scenarios := []struct {
		testName string
		times    float64
		least    float64 // of what the pool can answer
	}{
		{"one and a half times", 1.5, 0.9},
		{"twice", 2, 0.9},
		{"three times", 3, 0.9},
		{"seven times", 7, 0.9},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			with, without := sum(overload(sc.times, 0, true)), sum(overload(sc.times, 0, false))
			can := sc.least * float64(with.came) / sc.times
			assert.Assert(t, float64(with.inTime) >= can, "%d in time of %d, the pool can answer %.0f", with.inTime, with.came, can/sc.least)
			if sc.times >= 2 {
				assert.Assert(t, with.inTime > 3*without.inTime/2, "%d in time, %d without", with.inTime, without.inTime)
			}
		})
	}
}

// The load is below what the pool can answer. Nobody is refused, whatever the
// luck of arrivals.
func TestNobodyIsRefusedWhileThereIsRoom(t *testing.T) {
	for _, times := range []float64{0.3, 0.7, 0.95} {
		assert.Equal(t, sum(overload(times, 0.5, true)).refused, 0, "%.2f of the load", times)
	}
}

// One workspace sends most of what overloads the pool. The others' callers are
// let in more often than its own, and its own are not shut out.
func TestHogLeavesRoomToTheOthers(t *testing.T) {
	all := overload(3, 0.9, true)
	served := func(co *counts) float64 { return float64(co.inTime) / float64(co.came) }
	assert.Assert(t, served(all["b"]) > 1.3*served(all["a"]), "%.2f and %.2f", served(all["b"]), served(all["a"]))
	assert.Assert(t, served(all["a"]) > 0.15, "%.2f", served(all["a"]))
}

// Hundreds are refused within a second. Were all told the wait of the moment,
// they would come back together and meet the same queue; each is told a time
// after the one before.
func TestRefusedCallersGetTurns(t *testing.T) {
	ga, now := shed.New(), time.Unix(0, 0)
	for range 200 { // Fifty a second are let in.
		now = now.Add(20 * time.Millisecond)
		_, ok := ga.Offer(now, shed.Request{Aim: aim})
		assert.Assert(t, ok)
	}
	var turns []time.Time
	for range 300 {
		back, ok := ga.Offer(now, shed.Request{Wait: 4 * aim, Aim: aim})
		assert.Assert(t, !ok && back >= 4*aim)
		turns = append(turns, now.Add(back))
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, slices.IsSortedFunc(turns, time.Time.Compare))
	span := turns[len(turns)-1].Sub(turns[0]).Seconds()
	assert.Assert(t, span > 4.5 && span < 8, "%.1f s for 300 callers at 50 a second", span)
}
