package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// Guards against callers of every entry who are sent to an upstream that another
// entry has found dead.
func TestEntriesTellOfACrashedUpstream(t *testing.T) {
	const entries, away = 33, 4 * time.Second
	rnd := rand.New(rand.NewPCG(3, 1))
	hosts := pool(20, 64)
	pks := make([]*balance.Picker, entries)
	for i := range pks {
		pks[i] = balance.New("muc-a", "muc")
	}
	crashed, tried, after := hosts[0].ID, 0, 0
	for n := range 1600 { // Ten seconds.
		now := start.Add(time.Duration(n) * 6250 * time.Microsecond)
		pk := pks[rnd.IntN(entries)]
		rq := draft(fmt.Sprint("p", rnd.IntN(900)), n)
		ho, _ := pk.Pick(now, hosts, rq, rnd.Float64)
		fl := pk.Sent(now, ho, rq)
		switch {
		case ho.ID != crashed:
			pk.Begun(now, fl, rq, nil)
			pk.Ended(now, fl, balance.Good)
		case now.Sub(start) < away:
			tried++
			pk.Ended(now, fl, balance.Absent)
		default:
			after++
			pk.Begun(now, fl, rq, nil)
			pk.Ended(now, fl, balance.Good)
		}
		if n%40 != 0 {
			continue
		}
		for i, pk := range pks {
			facts := pk.Facts(now)
			for j, other := range pks {
				if i != j {
					other.ToldFacts(now, facts)
				}
			}
		}
	}
	assert.Assert(t, tried <= 10, "%d attempts at an upstream that some entry knew to be dead", tried)
	assert.Assert(t, after >= 10, "it gets work again: %d", after)
}

// Guards against a new start of an upstream that is kept without work for what was
// found out of the one before, and against rests without an end.
func TestFactsAreOfOneStart(t *testing.T) {
	ho := core.Host{ID: "up-0", Service: "s", Zone: "muc-a", Region: "muc", Slots: 64, Born: 1}
	rnd := rand.New(rand.NewPCG(4, 1))
	one, two := balance.New("muc-a", "muc"), balance.New("muc-a", "muc")
	one.Ended(start, one.Sent(start, ho, draft("p", 0)), balance.Replaced)
	facts := one.Facts(start)
	assert.Equal(t, len(facts), 1)
	avoided := func(born int64, at time.Time) bool {
		ho.Born = born
		two.Pick(at, []core.Host{ho}, draft("p", 1), rnd.Float64)
		two.ToldFacts(at, facts)
		return two.Avoided(at, []core.Host{ho}) > 0
	}
	assert.Assert(t, avoided(1, start))
	assert.Assert(t, !avoided(2, start))
	facts[0].Start, facts[0].Rest = 2, time.Hour
	assert.Assert(t, avoided(2, start))
	assert.Equal(t, two.Avoided(start.Add(11*time.Second), []core.Host{ho}), 0)
}

// Guards against a dead upstream that others take to answer again, since what was
// found out of it is told only after its rest is over.
func TestRestThatIsOverIsNoAnswer(t *testing.T) {
	ho := core.Host{ID: "up-0", Service: "s", Zone: "muc-a", Region: "muc", Slots: 64}
	for _, out := range []balance.Outcome{balance.Absent, balance.Replaced} {
		pk := balance.New("muc-a", "muc")
		pk.Ended(start, pk.Sent(start, ho, draft("p", 0)), out)
		assert.Equal(t, len(pk.Facts(start.Add(20*time.Second))), 0)
	}
}

// Guards against an upstream that stays without work at the other entries although
// one of them has had an answer from it.
func TestUpstreamThatAnswersAgain(t *testing.T) {
	ho := core.Host{ID: "up-0", Service: "s", Zone: "muc-a", Region: "muc", Slots: 64}
	one, two := balance.New("muc-a", "muc"), balance.New("muc-a", "muc")
	rq := draft("p", 0)
	for range 4 {
		one.Ended(start, one.Sent(start, ho, rq), balance.Absent)
		two.Ended(start, two.Sent(start, ho, rq), balance.Absent)
	}
	one.Facts(start)
	now := start.Add(time.Second)
	assert.Equal(t, two.Avoided(now, []core.Host{ho}), 1)
	one.Begun(now, one.Sent(now, ho, rq), rq, nil)
	two.ToldFacts(now, one.Facts(now))
	assert.Equal(t, two.Avoided(now, []core.Host{ho}), 0)
	assert.Equal(t, len(two.Facts(now)), 1, "what was found out before is told, what was told is not")
}
