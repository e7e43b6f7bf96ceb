package retry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/retry"
	"skylarkstand/core/share"
)

// More seeds:
//
//	go test ./core/retry -run InEverySpan -args -span-seeds 2000
var spanSeeds = flag.Uint64("span-seeds", 60, "number of seeds that the test of every span runs")

// service is a service whose bound on retries several entries share.
type service struct {
	window       time.Duration
	ratio, slack float64
	// requests and retries are when callers sent requests and when retries arrived.
	requests, retries []time.Time
	// registrations are the ids of the entries on the list, in their order.
	registrations []core.ProcessID
	// unconfirmed are the attempts of which the entries hear later.
	unconfirmed []delivery
}

// delivery is an attempt and when its entry hears that it has arrived.
type delivery struct {
	at      *retry.Attempt
	heardAt time.Time
}

// entry is an entry of the service.
type entry struct {
	*retry.Window
	roster *share.Roster
	id     core.ProcessID
	// read counts the registrations that it has read.
	read int
	// open are requests that may be retried.
	open []*retry.Request
	// reported is what it last reported as left.
	reported float64
}

// start starts an entry. It knows no other one until it reads the list.
func (sv *service) start(now time.Time) *entry {
	en := &entry{roster: share.NewRoster(), id: core.ProcessID(core.NewID())}
	di := share.New(en.id, en.roster, func(time.Time) time.Duration { return 0 })
	en.Window = retry.NewWindow(sv.window, sv.ratio, func(now time.Time) float64 { return sv.slack * di.Part(now, sv.window) })
	// A request of long ago, with which it may spend without any request.
	en.open = []*retry.Request{en.Begin(now.Add(-5 * sv.window))}
	en.open[0].Send(now.Add(-5*sv.window), "up")
	return en
}

func (sv *service) register(en *entry) { sv.registrations = append(sv.registrations, en.id) }

func (sv *service) readList(en *entry, now time.Time) {
	for ; en.read < len(sv.registrations); en.read++ {
		en.roster.Put(now, sv.registrations[en.read], core.Revision(en.read+1))
	}
}

// hear passes on the arrivals of which the entries have heard by now.
func (sv *service) hear(now time.Time) {
	sv.unconfirmed = slices.DeleteFunc(sv.unconfirmed, func(de delivery) bool {
		if now.Before(de.heardAt) {
			return false
		}
		de.at.Confirm(now)
		return true
	})
}

// request sends a request to an entry, the first attempt of which arrives at once. It was sent some time before it
// reaches the entry.
func (sv *service) request(en *entry, now time.Time, before time.Duration) {
	rq := en.Begin(now)
	if at, ok := rq.Send(now, "up"); ok {
		at.Confirm(now)
	}
	en.open = append(en.open, rq)
	if len(en.open) > 50 {
		en.open = en.open[1:]
	}
	sv.requests = append(sv.requests, now.Add(-before))
}

// retry makes up to n retries, each of which arrives after delay. The entry hears of it after twice that time.
func (sv *service) retry(en *entry, now time.Time, n int, delay time.Duration) {
	for i := range n {
		rq := en.open[i%len(en.open)]
		if !rq.Spend(now, retry.Retry) {
			return
		}
		at, ok := rq.Send(now, "up")
		if !ok {
			return
		}
		sv.retries = append(sv.retries, now.Add(delay))
		sv.unconfirmed = append(sv.unconfirmed, delivery{at, now.Add(2 * delay)})
	}
}

// lend lets one entry borrow retries of others. Some loans are lost, others come late.
func (sv *service) lend(rnd *rand.Rand, now time.Time, entries []*entry) {
	to := entries[rnd.IntN(len(entries))]
	for _, from := range entries {
		for range rnd.IntN(20) {
			if from == to || !from.Lend(now) || rnd.IntN(4) == 0 {
				continue
			}
			rq, late := to.open[rnd.IntN(len(to.open))], time.Duration(rnd.IntN(300))*time.Millisecond
			rq.Borrow(now)
			if at, ok := rq.Send(now.Add(late), "up"); ok {
				sv.retries = append(sv.retries, now.Add(late))
				sv.unconfirmed = append(sv.unconfirmed, delivery{at, now.Add(late)})
			}
		}
	}
}

// worstSpan returns the span in which the retries exceed their bound most, or come nearest to it. Requests
// count in the span, the one before it or the one half a window before it, whichever has most.
func (sv *service) worstSpan() (retries int, bound float64) {
	slices.SortFunc(sv.requests, time.Time.Compare)
	slices.SortFunc(sv.retries, time.Time.Compare)
	most := func(from time.Time) float64 {
		requests := max(sv.inSpan(sv.requests, from), sv.inSpan(sv.requests, from.Add(-sv.window/2)), sv.inSpan(sv.requests, from.Add(-sv.window)))
		return sv.ratio*float64(requests) + sv.slack
	}
	excess := 0.0
	for _, at := range sv.retries {
		for _, from := range []time.Time{at, at.Add(time.Millisecond - sv.window)} {
			got, allowed := sv.inSpan(sv.retries, from), most(from)
			if ex := float64(got) - allowed; bound == 0 || ex > excess {
				retries, bound, excess = got, allowed, ex
			}
		}
	}
	return retries, bound
}

// inSpan counts the times in the span that begins at from. The times are in order.
func (sv *service) inSpan(times []time.Time, from time.Time) int {
	begin, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(sv.window), time.Time.Compare)
	return end - begin
}

func (sv *service) check(t *testing.T) {
	t.Helper()
	got, bound := sv.worstSpan()
	assert.Check(t, float64(got) <= bound, "%d retries in the worst span, %.1f allowed", got, bound)
}

// Two failures come nearly a window apart. Guards against retries that an entry's window has forgotten while
// the span of the bound still contains them.
func TestRetriesOfTwoFailuresStayWithinTheBound(t *testing.T) {
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond} {
		for gap := 9200 * time.Millisecond; gap <= 10600*time.Millisecond; gap += 100 * time.Millisecond {
			for phase := time.Duration(0); phase < 500*time.Millisecond; phase += 170 * time.Millisecond {
				t.Run(fmt.Sprintf("gap %s, phase %s, the first %s late", gap, phase, late), func(t *testing.T) {
					sv := &service{window: 10 * time.Second, ratio: 0.9, slack: 54}
					start := time.Unix(1_000_000, 0).Add(phase)
					var entries []*entry
					for range 4 {
						en := sv.start(start)
						sv.register(en)
						entries = append(entries, en)
					}
					first := start.Add(30 * time.Second)
					for at := start; at.Before(first.Add(gap)); at = at.Add(40 * time.Millisecond) {
						sv.hear(at)
						en := entries[int(at.Sub(start)/(40*time.Millisecond))%4]
						sv.readList(en, at)
						sv.request(en, at, 0)
						if d := at.Sub(first); d >= 0 && d < 40*time.Millisecond {
							for _, en := range entries {
								sv.retry(en, at, 1000, late)
							}
						}
					}
					for _, en := range entries {
						sv.retry(en, first.Add(gap), 1000, 0)
					}
					assert.Assert(t, len(sv.retries) > 100, "%d retries do not test the bound", len(sv.retries))
					sv.check(t)
				})
			}
		}
	}
}

// Entries have just started and know nobody else, or start again and again. Guards against a fresh part of the
// allowance for each process that starts.
func TestEntriesThatStartStayWithinTheBound(t *testing.T) {
	for _, entries := range []int{4, 20, 72, 360} {
		for _, lives := range []int{1, 5, 20} {
			for _, known := range []int{0, 1, 4, entries} {
				t.Run(fmt.Sprintf("%d entries, %d lives, %d known", entries, lives, known), func(t *testing.T) {
					sv := &service{window: 10 * time.Second, ratio: 0.9, slack: 54}
					now := time.Unix(1_000_000, 0)
					for range lives {
						now = now.Add(400 * time.Millisecond)
						for n := range entries {
							en := sv.start(now)
							if n < known {
								sv.register(en)
								sv.readList(en, now)
							}
							sv.retry(en, now, 1000, 0)
						}
					}
					sv.check(t)
				})
			}
		}
	}
}

// Requests come in bursts to changing entries, which fail, start anew and send late. Guards against spans in
// which entries that each keep to their own requests exceed the bound together.
func TestRetriesStayWithinTheBoundInEverySpan(t *testing.T) {
	for seed := range *spanSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 48))
			sv := &service{window: 10 * time.Second, ratio: []float64{0.2, 0.9}[rnd.IntN(2)], slack: float64(rnd.IntN(60))}
			if seed%3 == 0 {
				sv.window = time.Duration(2+rnd.IntN(30)) * time.Second
			}
			now := time.Unix(1_000_000, int64(rnd.IntN(int(time.Second))))
			entries := make([]*entry, 1+rnd.IntN(8))
			for i := range entries {
				entries[i] = sv.start(now)
			}
			rate, failing, busy := rnd.IntN(60), 0.0, -1
			for range 1500 {
				now = now.Add(40 * time.Millisecond)
				sv.hear(now)
				for range poisson(rnd, float64(rate)*0.04) {
					en := entries[rnd.IntN(len(entries))]
					if busy >= 0 {
						en = entries[busy]
					}
					sv.request(en, now, time.Duration(rnd.IntN(40))*time.Millisecond)
					if rnd.Float64() < failing {
						sv.retry(en, now, 1+rnd.IntN(3), lateness(rnd))
					}
				}
				switch rnd.IntN(250) {
				case 0:
					rate = rnd.IntN(100) * rnd.IntN(3)
				case 1, 2:
					failing = float64(rnd.IntN(3)) / 2
				case 3:
					busy = rnd.IntN(len(entries)+1) - 1
				case 4:
					entries[rnd.IntN(len(entries))] = sv.start(now)
				case 5, 6:
					for _, en := range entries {
						sv.retry(en, now, 1000, lateness(rnd))
					}
				case 9, 10, 11, 12:
					sv.lend(rnd, now, entries)
				case 7, 8:
					if en := entries[rnd.IntN(len(entries))]; !slices.Contains(sv.registrations, en.id) {
						sv.register(en)
					}
				default:
					sv.readList(entries[rnd.IntN(len(entries))], now)
				}
			}
			sv.check(t)
		})
	}
}

// lateness returns how long a retry takes: mostly up to 150 ms, at times as long as a kernel repeats packets.
func lateness(rnd *rand.Rand) time.Duration {
	if rnd.IntN(10) == 0 {
		return time.Duration(rnd.IntN(2500)) * time.Millisecond
	}
	return time.Duration(rnd.IntN(150)) * time.Millisecond
}

func poisson(rnd *rand.Rand, mean float64) (n int) {
	for at := rnd.ExpFloat64(); at < mean; at += rnd.ExpFloat64() {
		n++
	}
	return n
}
