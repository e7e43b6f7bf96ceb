package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/share"
)

const (
	window   = 10 * time.Second
	step     = 100 * time.Millisecond
	lapse    = 12 * time.Second
	duration = 150 * time.Second
)

// change is a change of the list in the store.
type change struct {
	id      core.ProcessID
	removed bool
}

// process is a process that registers and takes its part.
type process struct {
	*share.Roster
	id core.ProcessID
	di *share.Divider
	// seen is the number of changes of the list that it has received.
	seen        int
	confirmedAt time.Time
	// registersAt is when it is listed, lastHeard when it last sent a heartbeat to those that keep the list.
	registersAt, lastHeard time.Time
	// deaf means that it gets no news of the list, and mute that its heartbeats are lost.
	deaf, mute, frozen, ended bool
	// parts are what it took, one for each step.
	parts map[int]float64
}

// simulation is a list and the processes on it.
type simulation struct {
	rnd     *rand.Rand
	now     time.Time
	changes []change
	listed  map[core.ProcessID]bool
	all     []*process
}

func (si *simulation) start() {
	pr := &process{Roster: share.NewRoster(), id: core.ProcessID(fmt.Sprint("p", len(si.all))), parts: map[int]float64{}}
	pr.registersAt = si.now.Add(time.Duration(si.rnd.IntN(4000)*(1+10*si.rnd.IntN(2))) * time.Millisecond)
	pr.lastHeard = si.now
	pr.di = share.New(pr.id, pr, func(now time.Time) time.Duration { return now.Sub(pr.confirmedAt) })
	si.all = append(si.all, pr)
}

// keepList registers the processes that started, and removes those that were not heard of for long.
func (si *simulation) keepList() {
	for _, pr := range si.all {
		if !pr.ended && !pr.mute && !pr.frozen && si.rnd.IntN(10) == 0 {
			pr.lastHeard = si.now
		}
		heard := si.now.Sub(pr.lastHeard) < lapse
		switch {
		case heard && !si.listed[pr.id] && !pr.ended && !pr.mute && !si.now.Before(pr.registersAt):
			si.changes = append(si.changes, change{id: pr.id})
			si.listed[pr.id] = true
		case !heard && si.listed[pr.id]:
			si.changes = append(si.changes, change{id: pr.id, removed: true})
			delete(si.listed, pr.id)
		}
	}
}

// read passes the changes of the list on to a process.
func (si *simulation) read(pr *process) {
	for ; pr.seen < len(si.changes); pr.seen++ {
		if ch := si.changes[pr.seen]; ch.removed {
			pr.Remove(si.now, ch.id)
		} else {
			pr.Put(si.now, ch.id, core.Revision(pr.seen+1))
		}
	}
	pr.confirmedAt = si.now
}

func (si *simulation) disturb() {
	pr := si.all[si.rnd.IntN(len(si.all))]
	switch si.rnd.IntN(12) {
	case 0:
		si.start()
	case 1:
		pr.ended = true
		si.start()
	case 2, 3:
		pr.deaf = !pr.deaf
	case 4, 5:
		pr.mute = !pr.mute
	case 6:
		pr.frozen = !pr.frozen
	case 7, 8, 9:
		pr.deaf, pr.mute, pr.frozen = false, false, false
	}
}

// Processes start, end, freeze, miss news of the list and are removed from it. Guards against parts that add
// up to more than the allowance within a window.
func TestPartsNeverExceedTheAllowance(t *testing.T) {
	for seed := range uint64(60) {
		si := &simulation{rnd: rand.New(rand.NewPCG(seed, 48)), now: time.Unix(1_000_000, 0), listed: map[core.ProcessID]bool{}}
		for range 1 + si.rnd.IntN(20) {
			si.start()
		}
		calm := 1 + si.rnd.IntN(20)
		highest := 0.0
		steps := int(duration / step)
		for n := range steps {
			si.now = si.now.Add(step)
			if si.rnd.IntN(calm) == 0 {
				si.disturb()
			}
			si.keepList()
			for _, pr := range si.all {
				if pr.ended || pr.frozen {
					continue
				}
				if !pr.deaf && si.rnd.IntN(8) == 0 {
					si.read(pr)
				}
				pr.parts[n] = pr.di.Part(si.now, window)
			}
			highest = max(highest, si.sum(n))
		}
		assert.Assert(t, highest <= 1+1e-9, "seed %d: the parts of a window add up to %.3f", seed, highest)
	}
}

// sum adds up the largest part of each process within the window that ends at a step.
func (si *simulation) sum(until int) float64 {
	sum := 0.0
	for _, pr := range si.all {
		largest := 0.0
		for n := until - int(window/step); n <= until; n++ {
			largest = max(largest, pr.parts[n])
		}
		sum += largest
	}
	return sum
}

// Guards against parts that stay unused while the list is calm.
func TestPartsOfACalmListAreUsed(t *testing.T) {
	for _, entries := range []int{1, 4, 72, 360} {
		si := &simulation{rnd: rand.New(rand.NewPCG(1, 48)), now: time.Unix(1_000_000, 0), listed: map[core.ProcessID]bool{}}
		for range entries {
			si.start()
		}
		for range int(80 * time.Second / step) {
			si.now = si.now.Add(step)
			si.keepList()
			for _, pr := range si.all {
				si.read(pr)
				pr.di.Observe(si.now)
			}
		}
		sum := 0.0
		for _, pr := range si.all {
			sum += pr.di.Part(si.now, window)
		}
		assert.Assert(t, sum > 0.75 && sum <= 1, "%d entries use %.3f", entries, sum)
	}
}

// Guards against a process that has just started, and takes no part for a whole window although it knows its
// place.
func TestFirstProcessTakesAPartAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ro := share.NewRoster()
	di := share.New("p1", ro, func(time.Time) time.Duration { return 0 })
	assert.Equal(t, di.Part(now, window), 0.0)
	ro.Put(now, "p1", 7)
	now = now.Add(time.Second)
	assert.Assert(t, di.Part(now, window) > 0.04)
}
