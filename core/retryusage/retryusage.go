// Package retryusage finds the span in which a service got most retries, from the log lines of gateways, and
// shows which entry made them, for which purpose and for how many requests.
//
// The retry budget bounds the retries in any span of its window, over all entries. No metric shows such a
// span: metrics are sampled at fixed times, and each entry has its own.
//
// Times are those at which entries chose an upstream. A retry may arrive there later.
//
// # Usage
//
//	spans := retryusage.Worst(lo.Lines(), 10*time.Second)
//	err := retryusage.Write(os.Stdout, spans)
package retryusage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarkstand/core/event"
	"skylarkstand/core/trace"
)

// Usage is what one entry did within a span.
type Usage struct {
	Entry    string
	Requests int
	// Retries counts the attempts beyond the first of each request, by purpose, and Retried the requests
	// that have any.
	Retries map[string]int
	Retried int
	// Refused counts the requests that ended without an attempt that the budget refused.
	Refused int
}

// Span is the span in which a service got most retries.
type Span struct {
	Service string
	From    time.Time
	// Retries is their number in the span. Requests is the number of requests that pay for them: those in
	// the span, in the one before it or in the one half a window before it, whichever has most.
	Retries, Requests int
	// Entries are ordered by their retries, the most first.
	Entries []Usage
}

// attempt is one line about the beginning of an attempt, or about a refused one.
type attempt struct {
	at             time.Time
	entry, request string
	// purpose is empty for a first attempt.
	purpose string
	refused bool
}

// Worst returns the span of each service, ordered by service.
func Worst(lines []trace.Line, window time.Duration) []Span {
	services := map[string][]attempt{}
	for i := range lines {
		if service, at, ok := parse(&lines[i]); ok {
			services[service] = append(services[service], at)
		}
	}
	var out []Span
	for _, service := range slices.Sorted(maps.Keys(services)) {
		list := services[service]
		slices.SortStableFunc(list, func(a, b attempt) int { return a.at.Compare(b.at) })
		out = append(out, worst(service, list, window))
	}
	return out
}

func parse(li *trace.Line) (service string, at attempt, ok bool) {
	at = attempt{at: li.At, entry: li.Process, request: li.Get("request")}
	switch li.Event {
	case event.AttemptBegun.Name:
		at.purpose = li.Get("purpose")
		if at.purpose == "" && li.Get("attempt") != "1" {
			return "", at, false // No attempt before it reached an upstream.
		}
	case event.ExchangeFailed.Name, event.ExchangeCut.Name, event.ExchangeEnded.Name:
		at.refused = li.Get("budget-refused") == "true"
		if !at.refused {
			return "", at, false
		}
	default:
		return "", at, false
	}
	service = li.Get("service")
	return service, at, service != ""
}

func worst(service string, list []attempt, window time.Duration) Span {
	sp := Span{Service: service}
	for i := range list {
		if list[i].purpose == "" {
			continue
		}
		from := list[i].at
		if n := count(list, from, window, attempt.isRetry); n > sp.Retries {
			sp.From, sp.Retries = from, n
		}
	}
	if sp.Retries == 0 && len(list) > 0 {
		sp.From = list[0].at
	}
	for _, back := range []time.Duration{0, window / 2, window} {
		sp.Requests = max(sp.Requests, count(list, sp.From.Add(-back), window, attempt.isFirst))
	}
	sp.Entries = usages(spanOf(list, sp.From, window))
	return sp
}

func (at attempt) isRetry() bool { return !at.refused && at.purpose != "" }

func (at attempt) isFirst() bool { return !at.refused && at.purpose == "" }

func spanOf(list []attempt, from time.Time, window time.Duration) []attempt {
	index := func(ti time.Time) int {
		n, _ := slices.BinarySearchFunc(list, ti, func(at attempt, ti time.Time) int { return at.at.Compare(ti) })
		return n
	}
	return list[index(from):index(from.Add(window))]
}

func count(list []attempt, from time.Time, window time.Duration, fn func(attempt) bool) (n int) {
	for _, at := range spanOf(list, from, window) {
		if fn(at) {
			n++
		}
	}
	return n
}

func usages(list []attempt) []Usage {
	entries, retried := map[string]*Usage{}, map[string]bool{}
	for _, at := range list {
		us := entries[at.entry]
		if us == nil {
			us = &Usage{Entry: at.entry, Retries: map[string]int{}}
			entries[at.entry] = us
		}
		switch {
		case at.refused:
			us.Refused++
		case at.purpose == "":
			us.Requests++
		default:
			us.Retries[at.purpose]++
			if !retried[at.request] {
				retried[at.request] = true
				us.Retried++
			}
		}
	}
	return slices.SortedFunc(func(yield func(Usage) bool) {
		for _, us := range entries {
			if !yield(*us) {
				return
			}
		}
	}, func(a, b Usage) int { return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Entry, b.Entry)) })
}

func (us *Usage) total() int {
	sum := 0
	for _, n := range us.Retries {
		sum += n
	}
	return sum
}
