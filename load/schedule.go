package load

import (
	"iter"
	"math/rand/v2"
	"time"
)

// Arrival is one request that falls due.
type Arrival struct {
	// At is the time since the beginning.
	At time.Duration
	// Kind is the index of the request in the mix.
	Kind int
	// Session numbers the session, 0 for one of its own.
	Session int
}

// Arrivals yields the requests of a mix in order of time. Independent callers
// make the times between two arrivals exponential; bursts come of themselves.
func (mix *Mix) Arrivals() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		rnd := rand.New(rand.NewPCG(mix.Seed, mix.Seed))
		var total float64
		for _, rq := range mix.Requests {
			total += rq.Weight
		}
		for at := gap(rnd, mix.Rate); at < time.Duration(mix.Duration); at += gap(rnd, mix.Rate) {
			ar := Arrival{At: at, Kind: mix.pick(rnd.Float64() * total)}
			if n := mix.Requests[ar.Kind].Sessions; n > 0 {
				ar.Session = 1 + rnd.IntN(n)
			}
			if !yield(ar) {
				return
			}
		}
	}
}

func gap(rnd *rand.Rand, rate float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

// pick returns the kind in whose part of the weights a draw falls.
func (mix *Mix) pick(draw float64) int {
	for i, rq := range mix.Requests {
		if draw < rq.Weight {
			return i
		}
		draw -= rq.Weight
	}
	return len(mix.Requests) - 1
}
