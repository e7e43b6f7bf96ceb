package suspect

import (
	"cmp"
	"slices"
	"time"

	"skylarkstand/core/balance"
)

// inference attributes crashes to requests that were in flight.
type inference struct {
	// crashes are the settled crashes of each request, and inFlight the requests at each crash.
	crashes  map[Fingerprint][]Crash
	inFlight map[balance.Incarnation][]Fingerprint
	// ends are the times at which upstreams ended, in order.
	ends []end
	// counts are the numbers of crashes of each request, one after the other.
	counts map[Fingerprint]int
	// ages are the mean ages of the requests at their crashes.
	ages map[Fingerprint]time.Duration
}

// end is the end of an upstream.
type end struct {
	at       time.Time
	upstream balance.Incarnation
}

func newInference(suspects map[Fingerprint][]observedCrash, now time.Time) *inference {
	in := &inference{crashes: map[Fingerprint][]Crash{}, inFlight: map[balance.Incarnation][]Fingerprint{}, counts: map[Fingerprint]int{}, ages: map[Fingerprint]time.Duration{}}
	for fp, crashes := range suspects {
		for _, oc := range crashes {
			if now.Sub(oc.knownSince) < settleTime || now.Sub(oc.Ended) > suspectTTL {
				continue
			}
			if len(in.inFlight[oc.Upstream]) == 0 {
				in.ends = append(in.ends, end{oc.Ended, oc.Upstream})
			}
			in.crashes[fp] = append(in.crashes[fp], oc.Crash)
			in.inFlight[oc.Upstream] = append(in.inFlight[oc.Upstream], fp)
		}
		in.counts[fp], in.ages[fp] = countSuccessive(in.crashes[fp]), meanAge(in.crashes[fp])
	}
	slices.SortFunc(in.ends, func(a, b end) int { return a.at.Compare(b.at) })
	return in
}

// finding is a request that crashes are attributed to.
type finding struct {
	fp Fingerprint
	// with are the traits that came with it in each request.
	with [maxCompanions]Fingerprint
	// certain is false if another request may be the cause as well.
	certain bool
}

// poisonous returns the requests that crashes are to be attributed to, those with the most crashes first.
func (in *inference) poisonous(quarantined func(Fingerprint) bool) []finding {
	var candidates []Fingerprint
	for fp, n := range in.counts {
		if n >= minCrashes && !quarantined(fp) && countRequests(in.crashes[fp]) >= minRequests {
			candidates = append(candidates, fp)
		}
	}
	slices.SortFunc(candidates, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(in.counts[b], in.counts[a]), cmp.Compare(a, b))
	})
	var out []finding
	found := map[Fingerprint]bool{}
	for _, fp := range candidates {
		together := in.inseparable(fp, candidates)
		if together[0] != fp {
			continue
		}
		fi := finding{fp: fp, certain: true}
		copy(fi.with[:], together[1:])
		explained := func(cr Crash) bool {
			return slices.ContainsFunc(in.inFlight[cr.Upstream], func(rival Fingerprint) bool {
				if slices.Contains(together, rival) {
					return false
				}
				if found[rival] || quarantined(rival) {
					return true
				}
				co := in.compare(fp, rival)
				fi.certain = fi.certain && co == likelier
				return co == unlikelier || co == undecided && in.explainsBetter(rival, fp)
			})
		}
		outage := func(cr Crash) bool { return in.inOutage(fp, cr, candidates) }
		own := slices.DeleteFunc(slices.DeleteFunc(slices.Clone(in.crashes[fp]), explained), outage)
		if countSuccessive(own) >= minCrashes && countRequests(own) >= minRequests {
			out = append(out, fi)
			found[fp] = true
		}
	}
	return out
}

// inseparable returns the candidates that were in flight at the same crashes as a candidate, and in the same
// requests, including itself: nothing tells yet which of them is the cause.
func (in *inference) inseparable(fp Fingerprint, candidates []Fingerprint) []Fingerprint {
	var out []Fingerprint
	for _, other := range candidates {
		if other == fp || (fp.IsPart() || other.IsPart()) && in.isNested(other, fp) && in.isNested(fp, other) {
			out = append(out, other)
		}
	}
	return out
}

// isNested reports whether a trait was in flight only in requests that had another one too.
func (in *inference) isNested(fp, other Fingerprint) bool {
	for _, cr := range in.crashes[fp] {
		if !slices.ContainsFunc(in.crashes[other], func(oc Crash) bool { return oc.Upstream == cr.Upstream && oc.Request == cr.Request }) {
			return false
		}
	}
	return true
}

// inOutage reports whether at the time of a crash no fewer upstreams ended for an unknown cause than with
// the request in flight: neither it nor another candidate was in flight there. All may have ended by the
// same outage.
func (in *inference) inOutage(fp Fingerprint, cr Crash, candidates []Fingerprint) bool {
	first, _ := slices.BinarySearchFunc(in.ends, cr.Ended.Add(-outageTime), func(en end, at time.Time) int { return en.at.Compare(at) })
	withRequest, unknown := 0, 0
	for _, en := range in.ends[first:] {
		if en.at.Sub(cr.Ended) > outageTime {
			break
		}
		inFlight := in.inFlight[en.upstream]
		switch {
		case slices.Contains(inFlight, fp):
			withRequest++
		case !slices.ContainsFunc(inFlight, func(other Fingerprint) bool { return slices.Contains(candidates, other) }):
			unknown++
		}
	}
	return unknown >= withRequest
}

// comparison is how two requests that share crashes compare as the cause.
type comparison int

const (
	likelier comparison = iota
	undecided
	unlikelier
)

// compare compares a request with a rival. A crash without the rival in flight cannot be the rival's, so
// the request with more crashes of its own is the likelier cause. A few more are no proof: the crashes of
// requests whose answers had begun are not always observed.
func (in *inference) compare(fp, rival Fingerprint) comparison {
	shared := 0
	for _, cr := range in.crashes[fp] {
		if slices.Contains(in.inFlight[cr.Upstream], rival) {
			shared++
		}
	}
	own, others := len(in.crashes[fp])-shared, len(in.crashes[rival])-shared
	margin := 1 + (shared+max(own, others))/crashesPerMargin
	switch {
	case own > others+margin:
		return likelier
	case others > own+margin:
		return unlikelier
	default:
		return undecided
	}
}

// explainsBetter reports whether crashes that a request shares with an equal rival count for the rival:
// always at first, since the next crash will tell, and later if the rival ran for a shorter time before
// them. A poisonous request crashes its upstream as it begins to run.
func (in *inference) explainsBetter(rival, fp Fingerprint) bool {
	return in.counts[fp] < tieCrashes || in.ages[rival] < in.ages[fp]
}

// countSuccessive returns the largest number of crashes of a request of which each followed the one
// before: the request was sent to the next upstream after that.
func countSuccessive(crashes []Crash) int {
	slices.SortFunc(crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	count := 0
	var last time.Time
	for _, cr := range crashes {
		if count == 0 || cr.Sent.After(last.Add(-overlap)) {
			count++
			last = cr.Ended
		}
	}
	return count
}

func meanAge(crashes []Crash) time.Duration {
	var sum time.Duration
	for _, cr := range crashes {
		sum += cr.Ended.Sub(cr.Sent)
	}
	return sum / time.Duration(max(len(crashes), 1))
}

func countRequests(crashes []Crash) int {
	seen := map[uint16]bool{}
	for _, cr := range crashes {
		seen[cr.Request] = true
	}
	return len(seen)
}
