package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/mechanism"
)

// engines reads prompts with two models, one after the other at each engine, and
// answers after a round trip.
type engines struct {
	hosts []core.Host
	// thousand is the time for a thousand tokens, by model.
	thousand map[core.ModelID]time.Duration
	// free is when an engine has read all that it was sent.
	free map[core.UpstreamID]time.Time
	// kept are the parts that an engine has read.
	kept map[string]bool
	// again is the tokens of shared parts that were read although some engine
	// had them.
	again core.Tokens
}

const roundTrip = 5 * time.Millisecond

func newEngines(count int, pace float64) *engines {
	return &engines{
		hosts: pool(count, 64), free: map[core.UpstreamID]time.Time{}, kept: map[string]bool{},
		thousand: map[core.ModelID]time.Duration{
			"small": time.Duration(pace * float64(4*time.Millisecond)),
			"large": time.Duration(pace * float64(35*time.Millisecond)),
		},
	}
}

// send returns when the header of an answer comes.
func (en *engines) send(now time.Time, ho core.Host, rq balance.Request) time.Time {
	begin := now
	if fr := en.free[ho.ID]; fr.After(begin) {
		begin = fr
	}
	fresh := rq.Prompt
	for _, pa := range rq.Parts {
		if en.kept[key(ho.ID, rq.Model, pa)] {
			fresh -= pa.Tokens
		} else if en.kept[key("", rq.Model, pa)] {
			en.again += pa.Tokens
		}
		en.kept[key(ho.ID, rq.Model, pa)], en.kept[key("", rq.Model, pa)] = true, true
	}
	en.free[ho.ID] = begin.Add(time.Duration(float64(en.thousand[rq.Model]) * float64(fresh) / 1000))
	return en.free[ho.ID].Add(roundTrip)
}

func key(id core.UpstreamID, mo core.ModelID, pa core.Part) string {
	return fmt.Sprint(id, "/", mo, "/", pa.ID)
}

// answer is one that is under way.
type answer struct {
	fl   *balance.Flight
	rq   balance.Request
	head time.Time
}

// play sends a prompt every so often, every third to the large model, and
// returns the picker at the end.
func (en *engines) play(every time.Duration, count, subjects int, opts ...balance.Option) *balance.Picker {
	rnd := rand.New(rand.NewPCG(5, 1))
	pk := balance.New("muc-a", "muc", opts...)
	var flying []answer
	for n := range count {
		now := start.Add(time.Duration(n) * every)
		flying = land(pk, flying, now)
		rq := prompt(rnd.IntN(subjects), n, 500+core.Tokens(rnd.IntN(12_000)))
		if n%3 == 0 {
			rq.Model = "large"
		}
		ho, _ := pk.Pick(now, en.hosts, rq, rnd.Float64)
		fl := pk.Sent(now, ho, rq)
		flying = append(flying, answer{fl, rq, en.send(now, ho, rq)})
	}
	land(pk, flying, start.Add(time.Hour))
	return pk
}

// land ends the answers whose header has come.
func land(pk *balance.Picker, flying []answer, now time.Time) []answer {
	var left []answer
	for _, an := range flying {
		if an.head.After(now) {
			left = append(left, an)
			continue
		}
		pk.Begun(an.head, an.fl, an.rq, nil)
		pk.Ended(an.head, an.fl, balance.Good)
	}
	return left
}

func prompt(subject, own int, tokens core.Tokens) balance.Request {
	shared := core.Part{ID: fmt.Sprint("subject-", subject), Tokens: tokens / 2}
	mine := core.Part{ID: fmt.Sprint("own-", own), Tokens: tokens - tokens/2}
	return balance.Request{
		Service: "s", Model: "small", Engine: true, Pool: "draft",
		Parts: []core.Part{shared, mine}, Prompt: tokens,
	}
}

// Engines of another make read five times as fast, or as slowly, as those that
// the first guess was made for, and their models differ by nine times. An entry
// that goes on believing its guess takes an engine with a short queue for a full
// one or the other way round, and its callers wait behind long prompts while
// another engine is idle.
func TestPaceOfEnginesIsLearned(t *testing.T) {
	for _, pace := range []float64{0.2, 1, 5} {
		t.Run(fmt.Sprint(pace), func(t *testing.T) {
			en := newEngines(6, pace)
			every := time.Duration(pace * float64(40*time.Millisecond))
			pk := en.play(every, 300, 1000)
			now := start.Add(time.Hour)
			for mo, thousand := range en.thousand {
				rq := prompt(5000, 5000, 10_000)
				rq.Model = mo
				// Half of a shared part may be thought of as kept at its home.
				got, want := float64(pk.Expect(now, en.hosts, rq)), 8*float64(thousand)
				assert.Assert(t, got > 0.6*want && got < 1.6*want, "%s: expected %v for %v", mo, time.Duration(got), time.Duration(want))
			}
		})
	}
}

// More prompts come than the pool can read, and most wait for others. An entry
// that takes those waits for slow reading thinks its large prompts several times
// as long as they are, and refuses or repeats what would have been in time.
func TestWaitsAreNotTakenForReading(t *testing.T) {
	en := newEngines(6, 1)
	pk := en.play(12*time.Millisecond, 600, 1000)
	rq := prompt(5000, 5000, 10_000)
	rq.Model = "large"
	got := pk.Expect(start.Add(time.Hour), en.hosts, rq)
	want := 8 * en.thousand["large"]
	assert.Assert(t, got < 2*want, "%v for %v", got, want)
}

// Forty subjects share half of their prompts, and the small model reads a
// thousand tokens in 4 ms: whichever engine has nothing waiting would begin first.
// Then each engine reads each subject's part once, and operators pay for each of
// them. The price of shared parts has to keep most of it away.
func TestSharedPartsAreReadOnce(t *testing.T) {
	with, without := newEngines(9, 1), newEngines(9, 1)
	with.play(30*time.Millisecond, 900, 40)
	without.play(30*time.Millisecond, 900, 40, balance.Without(mechanism.Without(mechanism.SharedPrice)))
	assert.Assert(t, with.again < without.again/2, "%d tokens read again, %d without the price", with.again, without.again)
}

// An engine keeps the beginning of a prompt and has others to read for two
// seconds. A caller with time to wait goes there; one whose answer would begin too
// late has it read anew elsewhere, and is in time.
func TestNobodyIsLateForAKeptPrompt(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 1))
	hosts := pool(2, 64)
	choose := func(slack time.Duration) core.UpstreamID {
		pk := balance.New("muc-a", "muc")
		fl := pk.Sent(start, hosts[0], draft("plan", 0))
		pk.Begun(start.Add(560*time.Millisecond), fl, draft("plan", 0), nil)
		pk.Ended(start.Add(time.Second), fl, balance.Good)
		for i := range 8 {
			pk.Sent(start.Add(time.Second), hosts[0], draft(fmt.Sprint("other-", i), 1+i))
		}
		rq := draft("plan", 99)
		rq.Slack = slack
		ho, _ := pk.Pick(start.Add(time.Second), hosts, rq, rnd.Float64)
		return ho.ID
	}
	assert.Equal(t, choose(30*time.Second), hosts[0].ID)
	assert.Equal(t, choose(2*time.Second), hosts[1].ID)
}
