package retry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/retry"
)

// service is a service whose bound on retries several entries share.
type service struct {
	window       time.Duration
	ratio, slack float64
	// requests and retries are when callers sent requests and when retries arrived.
	requests, retries []time.Time
}

func (sv *service) newWindow(known int) *retry.Window {
	return retry.NewWindow(sv.window, sv.ratio, func() float64 { return retry.BurstShare(sv.slack, known) })
}

// request sends n requests to an entry.
func (sv *service) request(wi *retry.Window, now time.Time, n int) {
	for range n {
		wi.Arrived(now)
		sv.requests = append(sv.requests, now)
	}
}

// retry makes up to n retries, each of which arrives after delay.
func (sv *service) retry(wi *retry.Window, now time.Time, n int, delay time.Duration) {
	for i := 0; i < n && wi.Spend(now, retry.Retry); i++ {
		sv.retries = append(sv.retries, now.Add(delay))
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
					var entries []*retry.Window
					for range 4 {
						entries = append(entries, sv.newWindow(4))
					}
					start := time.Unix(1_000_000, 0).Add(phase)
					first := start.Add(30 * time.Second)
					for at := start; at.Before(first.Add(gap)); at = at.Add(40 * time.Millisecond) {
						sv.request(entries[int(at.Sub(start)/(40*time.Millisecond))%4], at, 1)
						if d := at.Sub(first); d >= 0 && d < 40*time.Millisecond {
							for _, wi := range entries {
								sv.retry(wi, at, 1000, late)
							}
						}
					}
					for _, wi := range entries {
						sv.retry(wi, first.Add(gap), 1000, 0)
					}
					assert.Assert(t, len(sv.retries) > 0)
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
						for range entries {
							sv.retry(sv.newWindow(known), now, 1000, 0)
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
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 48))
			sv := &service{window: 10 * time.Second, ratio: []float64{0.2, 0.9}[rnd.IntN(2)], slack: float64(rnd.IntN(60))}
			entries := make([]*retry.Window, 1+rnd.IntN(8))
			start := func() *retry.Window { return sv.newWindow(rnd.IntN(2) * len(entries)) }
			for i := range entries {
				entries[i] = start()
			}
			rate, failing, busy := rnd.IntN(60), 0.0, -1
			now := time.Unix(1_000_000, int64(rnd.IntN(int(time.Second))))
			for range 1500 {
				now = now.Add(40 * time.Millisecond)
				for range poisson(rnd, float64(rate)*0.04) {
					wi := entries[rnd.IntN(len(entries))]
					if busy >= 0 {
						wi = entries[busy]
					}
					sv.request(wi, now, 1)
					if rnd.Float64() < failing {
						sv.retry(wi, now, 1+rnd.IntN(3), time.Duration(rnd.IntN(150))*time.Millisecond)
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
					entries[rnd.IntN(len(entries))] = start()
				case 5, 6:
					for _, wi := range entries {
						sv.retry(wi, now, 1000, time.Duration(rnd.IntN(150))*time.Millisecond)
					}
				}
			}
			sv.check(t)
		})
	}
}

func poisson(rnd *rand.Rand, mean float64) (n int) {
	for at := rnd.ExpFloat64(); at < mean; at += rnd.ExpFloat64() {
		n++
	}
	return n
}
