package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/retry"
)

// lending plays entries that share a budget and tell one another, with loss, what
// they have left.
type lending struct {
	seed    uint64
	entries int
	// wants is the repeats that each request asks for.
	wants float64
	// lost is the part of the telling that is lost, and deaf has nothing told at all.
	lost float64
	deaf bool
	// dies has every tenth entry started anew now and then.
	dies bool
}

const (
	lentRatio = 0.9
	lentSlack = 100.0
	lentSpan  = 10 * time.Second
)

// play returns the repeats that were asked for and not made, and fails the test when
// all entries together made more in some span than the budget has.
func (le lending) play(t *testing.T) (refused, asked int) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(le.seed, 9))
	start := func() *retry.Window {
		return retry.NewWindow(lentSpan, lentRatio, func() float64 { return retry.Share(lentSlack, le.entries) })
	}
	wis := make([]*retry.Window, le.entries)
	for i := range wis {
		wis[i] = start()
	}
	now := time.Unix(1_000_000, 0)
	var requests, repeats []time.Time
	for n := range 6_000 { // Half a minute at 200 requests a second.
		now = now.Add(5 * time.Millisecond)

		wi := wis[rnd.IntN(le.entries)]
		wi.Arrived(now)
		requests = append(requests, now)
		for p := le.wants; p > 0; p-- {
			if rnd.Float64() >= p {
				continue
			}
			asked++
			if wi.Spend(now, retry.Climb) {
				repeats = append(repeats, now)
			} else {
				refused++
			}
		}
		if n%50 == 0 && !le.deaf {
			le.tell(rnd, now, wis)
		}
		if le.dies && n%400 == 0 {
			wis[rnd.IntN(le.entries)] = start()
		}
	}
	for i := 0; i < len(repeats); i += 211 {
		from := repeats[i]
		got := float64(between(repeats, from, from.Add(lentSpan)))
		most := lentRatio*float64(between(requests, from.Add(-lentSpan/2), from.Add(lentSpan))) + lentSlack
		assert.Assert(t, got <= most, "seed %d: %v repeats, bound %v", le.seed, got, most)
	}
	return refused, asked
}

func (le lending) tell(rnd *rand.Rand, now time.Time, wis []*retry.Window) {
	for i, wi := range wis {
		left := wi.Tell(now)
		for j, other := range wis {
			if i != j && rnd.Float64() >= le.lost {
				other.Told(now, uint64(i), left)
			}
		}
	}
}

// Guards against entries that together repeat more than the pool may get, with all
// that they lend: whatever of what they tell is lost, and when they are killed.
func TestLendingKeepsToTheSharedBound(t *testing.T) {
	for seed := range uint64(4) {
		for _, wants := range []float64{0.7, 3} {
			for _, lost := range []float64{0, 0.4, 1} {
				le := lending{seed: seed, entries: 33, wants: wants, lost: lost, dies: seed%2 == 1}
				le.play(t)
			}
		}
	}
}

// Guards against an entry that goes beyond its part although the others have used
// theirs, or have told nothing lately.
func TestNothingIsLentWhereNothingIsLeft(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	scenarios := []struct {
		testName string
		left     float64
		age      time.Duration
		want     bool
	}{
		{"the others have some left", 8, 0, true},
		{"the others have used theirs", 0, 0, false},
		{"the others have gone beyond theirs", -3, 0, false},
		{"what they told is old", 8, 2 * time.Second, false},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			wi := retry.NewWindow(lentSpan, 0.5, fixed(0))
			for range 40 {
				wi.Arrived(now)
			}
			for wi.Spend(now, retry.Climb) {
			}
			for from := range uint64(5) {
				wi.Told(now, from, sc.left)
			}
			assert.Equal(t, wi.Spend(now.Add(sc.age), retry.Climb), sc.want)
		})
	}
}

// Guards against callers who get a doubtful answer for want of repeats at one entry
// while its neighbours have plenty.
func TestEntryUsesWhatOthersHaveLeft(t *testing.T) {
	le := lending{entries: 33, wants: 0.66}
	refused, asked := le.play(t)
	le.deaf = true
	alone, _ := le.play(t)
	assert.Assert(t, refused < alone/2, "%d of %d were refused, %d without lending", refused, asked, alone)
	assert.Assert(t, refused < asked/50)
}
