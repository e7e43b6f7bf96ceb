package load

import (
	"iter"
	"math/rand/v2"
	"time"
)

// Arrival is one scheduled request.
type Arrival struct {
	// Due is when the request is due, since the start of the run.
	Due time.Duration
	// Kind is the index of the request in the mix.
	Kind int
	// Session is the number of the session, 0 if the request has its own.
	Session int
}

// Arrivals yields the requests of a mix in order of time. Arrivals of independent callers form a
// Poisson process, so the times between them are exponentially distributed, which includes bursts.
func (mix *Mix) Arrivals() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		rnd := rand.New(rand.NewPCG(mix.Seed, mix.Seed))
		var total float64
		for _, rq := range mix.Requests {
			total += rq.Weight
		}
		for at := interArrivalTime(rnd, mix.Rate); at < time.Duration(mix.Duration); at += interArrivalTime(rnd, mix.Rate) {
			ar := Arrival{Due: at, Kind: mix.pick(rnd.Float64() * total)}
			if n := mix.Requests[ar.Kind].Sessions; n > 0 {
				ar.Session = 1 + rnd.IntN(n)
			}
			if !yield(ar) {
				return
			}
		}
	}
}

// interArrivalTime draws the time between two arrivals at a rate per second.
func interArrivalTime(rnd *rand.Rand, rate float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

// pick returns the kind for a draw from 0 to the sum of the weights.
func (mix *Mix) pick(draw float64) int {
	for i, rq := range mix.Requests {
		if draw < rq.Weight {
			return i
		}
		draw -= rq.Weight
	}
	return len(mix.Requests) - 1
}
