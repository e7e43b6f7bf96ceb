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

// One entry finds an upstream crashed. Guards against every other entry sending requests there to
// find out by itself.
func TestEntriesAnnounceCrashedUpstream(t *testing.T) {
	const entries, downtime = 33, 4 * time.Second
	rnd := rand.New(rand.NewPCG(3, 1))
	hosts := poolHosts(20, 64)
	pickers := make([]*balance.Picker, entries)
	for i := range pickers {
		pickers[i] = balance.New("muc-a", "muc")
	}
	crashed, attempts, recovered := hosts[0].ID, 0, 0
	for n := range 1600 { // Ten seconds.
		now := start.Add(time.Duration(n) * 6250 * time.Microsecond)
		pk := pickers[rnd.IntN(entries)]
		rq := draftRequest(fmt.Sprint("p", rnd.IntN(900)), n)
		ho, _ := pk.Pick(now, hosts, rq, rnd.Float64)
		fl := pk.RecordSent(now, ho, rq)
		switch {
		case ho.ID != crashed:
			pk.RecordHeader(now, fl, rq, nil)
			pk.RecordEnd(now, fl, balance.Good)
		case now.Sub(start) < downtime:
			attempts++
			pk.RecordEnd(now, fl, balance.NotListening)
		default:
			recovered++
			pk.RecordHeader(now, fl, rq, nil)
			pk.RecordEnd(now, fl, balance.Good)
		}
		if n%40 != 0 {
			continue
		}
		for i, pk := range pickers {
			facts := pk.TakeFacts(now)
			for j, other := range pickers {
				if i != j {
					other.ReceiveFacts(now, facts)
				}
			}
		}
	}
	assert.Assert(t, attempts <= 10, "%d attempts at a crashed upstream", attempts)
	assert.Assert(t, recovered >= 10, "%d calls after the upstream answered again", recovered)
}

// Guards against withholding work from a restarted upstream because of facts about its previous
// start, and against avoiding an upstream for an unlimited time.
func TestFactsApplyToOneStart(t *testing.T) {
	ho := core.Host{ID: "up-0", Service: "s", Zone: "muc-a", Region: "muc", Slots: 64, StartedAt: 1}
	rnd := rand.New(rand.NewPCG(4, 1))
	one, two := balance.New("muc-a", "muc"), balance.New("muc-a", "muc")
	one.RecordEnd(start, one.RecordSent(start, ho, draftRequest("p", 0)), balance.Replaced)
	facts := one.TakeFacts(start)
	assert.Equal(t, len(facts), 1)
	avoided := func(startedAt int64, at time.Time) bool {
		ho.StartedAt = startedAt
		two.Pick(at, []core.Host{ho}, draftRequest("p", 1), rnd.Float64)
		two.ReceiveFacts(at, facts)
		return two.CountAvoided(at, []core.Host{ho}) > 0
	}
	assert.Assert(t, avoided(1, start))
	assert.Assert(t, !avoided(2, start))
	facts[0].Start, facts[0].DownFor = 2, time.Hour
	assert.Assert(t, avoided(2, start))
	assert.Equal(t, two.CountAvoided(start.Add(11*time.Second), []core.Host{ho}), 0)
}

// Guards against announcing a crash after the unavailability has expired: the other entries would
// take it as a report that the upstream answers again.
func TestExpiredFactIsNotAnnounced(t *testing.T) {
	ho := core.Host{ID: "up-0", Service: "s", Zone: "muc-a", Region: "muc", Slots: 64}
	for _, out := range []balance.Outcome{balance.NotListening, balance.Replaced} {
		pk := balance.New("muc-a", "muc")
		pk.RecordEnd(start, pk.RecordSent(start, ho, draftRequest("p", 0)), out)
		assert.Equal(t, len(pk.TakeFacts(start.Add(20*time.Second))), 0)
	}
}

// Guards against other entries withholding work from an upstream although one entry has received a
// response from it.
func TestRecoveredUpstreamIsAnnounced(t *testing.T) {
	ho := core.Host{ID: "up-0", Service: "s", Zone: "muc-a", Region: "muc", Slots: 64}
	one, two := balance.New("muc-a", "muc"), balance.New("muc-a", "muc")
	rq := draftRequest("p", 0)
	for range 4 {
		one.RecordEnd(start, one.RecordSent(start, ho, rq), balance.NotListening)
		two.RecordEnd(start, two.RecordSent(start, ho, rq), balance.NotListening)
	}
	one.TakeFacts(start)
	now := start.Add(time.Second)
	assert.Equal(t, two.CountAvoided(now, []core.Host{ho}), 1)
	one.RecordHeader(now, one.RecordSent(now, ho, rq), rq, nil)
	two.ReceiveFacts(now, one.TakeFacts(now))
	assert.Equal(t, two.CountAvoided(now, []core.Host{ho}), 0)
	assert.Equal(t, len(two.TakeFacts(now)), 1, "own facts are announced, received ones are not")
}
