package forward_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

// To run more seeds:
//
//	go test ./core/forward -run SignalsSoak -args -signal-seeds 50 -signal-first 1000
var (
	signalSeeds = flag.Int("signal-seeds", 4, "number of seeds that the soak test of signals runs")
	signalFirst = flag.Uint64("signal-first", 1, "the first seed")
)

// phase is a time in which an upstream sends the same signals.
type phase struct {
	from, to   time.Time
	limit      core.Rate // below 0: none
	retryAfter time.Duration
	draining   bool
}

// signalingUpstream is an upstream whose signals change.
type signalingUpstream struct {
	mu     sync.Mutex
	phases []phase
}

// begin ends the current phase and begins another one.
func (su *signalingUpstream) begin(ph phase) {
	su.mu.Lock()
	defer su.mu.Unlock()
	now := time.Now()
	if n := len(su.phases); n > 0 {
		su.phases[n-1].to = now
	}
	ph.from = now
	su.phases = append(su.phases, ph)
}

func (su *signalingUpstream) reply() *core.Reply {
	su.mu.Lock()
	defer su.mu.Unlock()
	ph := su.phases[len(su.phases)-1]
	re := reply(http.StatusOK, "id: 1\n\nid: 2\n\n")
	if ph.retryAfter > 0 {
		re = refusesFor(ph.retryAfter)()
	}
	if ph.limit >= 0 {
		re.RateLimit = &ph.limit
	}
	re.Draining = ph.draining
	return re
}

// Guards against entries that violate the signals of upstreams, while several upstreams change theirs
// at once and announcements between entries are lost.
func TestSignalsSoak(t *testing.T) {
	for i := range uint64(*signalSeeds) {
		seed := *signalFirst + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) { soakSignals(t, seed) })
		})
	}
}

func soakSignals(t *testing.T, seed uint64) {
	t.Helper()
	const duration = 60 * time.Second
	rnd := rand.New(rand.NewPCG(seed, 1))
	replies, ups := map[core.UpstreamID]func() *core.Reply{}, map[core.UpstreamID]*signalingUpstream{}
	for _, re := range []core.Region{north, south} {
		for i := range 2 {
			id, su := core.UpstreamID(fmt.Sprint(re, "-", i)), &signalingUpstream{}
			su.begin(phase{limit: -1})
			ups[id], replies[id] = su, su.reply
		}
	}
	po := newPool(t, 1+rnd.IntN(12), replies)
	var wg sync.WaitGroup
	for id, su := range ups {
		changes := rand.New(rand.NewPCG(seed, uint64(len(id))+uint64(id[len(id)-1])<<8+uint64(id[0])<<16))
		wg.Go(func() { su.change(po, id, changes, duration) })
	}
	wg.Go(func() { po.gossip(rand.New(rand.NewPCG(seed, 2)), duration) })
	po.run(t, duration, 10*time.Millisecond)
	wg.Wait()
	for id, su := range ups {
		for _, ph := range su.phases {
			po.checkPhase(t, id, ph)
		}
	}
}

// change changes the upstream's signals at random. After draining, it restarts as a new incarnation.
func (su *signalingUpstream) change(po *pool, id core.UpstreamID, rnd *rand.Rand, duration time.Duration) {
	for until, incarnation := time.Now().Add(duration), int64(1); time.Now().Before(until); {
		time.Sleep(time.Duration(1+rnd.IntN(12)) * time.Second)
		switch rnd.IntN(5) {
		case 0:
			su.begin(phase{limit: -1})
		case 1, 2:
			su.begin(phase{limit: core.Rate(rnd.IntN(40)) / 4})
		case 3:
			su.begin(phase{limit: -1, retryAfter: time.Duration(500+rnd.IntN(4000)) * time.Millisecond})
		case 4:
			su.begin(phase{limit: -1, draining: true})
			time.Sleep(4 * time.Second)
			incarnation++
			po.restart(id, incarnation)
			su.begin(phase{limit: -1})
		}
	}
}

// restart lists an upstream as a new incarnation, which has not sent any signals yet.
func (po *pool) restart(id core.UpstreamID, startedAt int64) {
	for _, fl := range po.fleets {
		ho, _ := fl.Find(func(ho core.Host) bool { return ho.ID == id })
		ho.StartedAt, ho.Leaving = startedAt, false
		fl.Put(ho)
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	for to := range po.signals {
		if to.upstream == id {
			delete(po.signals, to)
		}
	}
}

// gossip delivers the announcements between entries, four times a second and with loss.
func (po *pool) gossip(rnd *rand.Rand, duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		for _, from := range po.entries {
			limits, draining := from.TakeRateLimits(), from.TakeDraining()
			for _, to := range po.entries {
				if to != from && rnd.IntN(5) > 0 {
					to.ReceiveRateLimits(limits)
					to.ReceiveDraining(draining)
				}
			}
		}
	}
}

// settleTime is how long after a change of its limit an upstream may get more than the new one.
const settleTime = 4 * time.Second

// checkPhase checks the requests of a phase against the upstream's signals in it.
func (po *pool) checkPhase(t *testing.T, id core.UpstreamID, ph phase) {
	t.Helper()
	if ph.to.IsZero() {
		ph.to = time.Now()
	}
	signaled := map[core.ProcessID]time.Time{}
	var limited []time.Time
	early := map[core.ProcessID]int{}
	for _, ar := range po.arrivals[id] {
		if ar.at.Before(ph.from) || !ar.at.Before(ph.to) {
			continue
		}
		since, known := signaled[ar.entry]
		if !known {
			signaled[ar.entry] = ar.at.Add(answerTime)
		}
		knows := known && ar.at.Sub(since) >= learningTime
		assert.Assert(t, !ph.draining || !knows, "%s got a request of %s %s after it had reported that it is draining", id, ar.entry, ar.at.Sub(since))
		if knows && ph.limit >= 0 && ar.at.Sub(ph.from) >= settleTime {
			limited = append(limited, ar.at)
		}
		if ph.retryAfter > 0 && known && ar.at.Sub(since) < ph.retryAfter {
			if knows {
				early[ar.entry]++
			}
		} else if ph.retryAfter > 0 {
			signaled[ar.entry], early[ar.entry] = ar.at.Add(answerTime), 0
		}
		assert.Assert(t, early[ar.entry] <= maxInCooldown, "%s got %d requests of %s before its Retry-After", id, early[ar.entry], ar.entry)
	}
	for i := range limited {
		n := 0
		for _, at := range limited[i:] {
			if at.Sub(limited[i]) <= limitWindow {
				n++
			}
		}
		assert.Assert(t, n <= allowedInWindow(ph.limit), "%s got %d requests in %s with a limit of %v; allowed %d", id, n, limitWindow, ph.limit, allowedInWindow(ph.limit))
	}
}
