package losses

import (
	"cmp"
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/trace"
)

// request is one request, reconstructed from the lines of its entry.
type request struct {
	at    time.Time
	route string
	// prompt is the size of the prompt.
	prompt   core.Tokens
	attempts []*attempt
	end      *trace.Line
}

// attempt is one attempt at an upstream. The verdict is set only if its answer was not used.
type attempt struct {
	model             string
	cached            core.Tokens
	prefillWait, took time.Duration
	verdict           string
}

// Row counts the requests of one route, or of one time span.
type Row struct {
	Name     string
	Requests int
	// Lost counts the requests by cause, without those on time.
	Lost map[Cause]int
}

// ModelUsage is the load of one model.
type ModelUsage struct {
	Model string
	// Attempts counts the attempts, and Escalated those whose answer was dropped for a larger
	// model's.
	Attempts, Escalated int
	// PrefilledTokens counts the tokens that had to be prefilled, and CachedTokens those that were
	// assumed to be in the prefix cache.
	PrefilledTokens, CachedTokens core.Tokens
}

// Table holds the losses by cause.
type Table struct {
	Total Row
	// Routes are ordered by name; requests without a known route are counted under an empty name.
	// Spans are ordered by time, from the first request on.
	Routes, Spans []Row
	Models        []ModelUsage
	// Dropped counts the log lines that processes dropped.
	Dropped int
}

// Count counts the requests in log lines, by time spans of the given length.
func Count(lines []trace.Line, span time.Duration) Table {
	rqs, dropped := collect(lines)
	ta := Table{Total: newRow("all"), Dropped: dropped}
	if len(rqs) == 0 {
		return ta
	}
	routes, usage := map[string]*Row{}, map[string]*ModelUsage{}
	start := rqs[0].at
	for _, rq := range rqs {
		ca := rq.cause()
		ta.Total.add(ca)
		routeRow(routes, rq.route).add(ca)
		ta.spanRow(rq.at.Sub(start), span).add(ca)
		rq.addUsage(usage)
	}
	ta.Routes = sorted(routes, func(ro *Row) string { return ro.Name })
	ta.Models = sorted(usage, func(mu *ModelUsage) string { return mu.Model })
	return ta
}

func newRow(name string) Row { return Row{Name: name, Lost: map[Cause]int{}} }

func routeRow(rows map[string]*Row, route string) *Row {
	if rows[route] == nil {
		ro := newRow(route)
		rows[route] = &ro
	}
	return rows[route]
}

// spanRow returns the row for a time since the first request, and adds the rows up to it.
func (ta *Table) spanRow(since, span time.Duration) *Row {
	ix := int(since / span)
	for len(ta.Spans) <= ix {
		ta.Spans = append(ta.Spans, newRow((time.Duration(len(ta.Spans)) * span).String()))
	}
	return &ta.Spans[ix]
}

func (ro *Row) add(ca Cause) {
	ro.Requests++
	if ca != OnTime {
		ro.Lost[ca]++
	}
}

func (rq *request) addUsage(usage map[string]*ModelUsage) {
	for _, at := range rq.attempts {
		if at.model == "" {
			continue
		}
		mu := usage[at.model]
		if mu == nil {
			mu = &ModelUsage{Model: at.model}
			usage[at.model] = mu
		}
		mu.Attempts++
		if at.verdict == "unsure" {
			mu.Escalated++
		}
		mu.CachedTokens += min(at.cached, rq.prompt)
		mu.PrefilledTokens += max(rq.prompt-at.cached, 0)
	}
}

func sorted[V any](rows map[string]*V, name func(*V) string) []V {
	var out []V
	for _, ro := range rows {
		out = append(out, *ro)
	}
	slices.SortFunc(out, func(a, b V) int { return cmp.Compare(name(&a), name(&b)) })
	return out
}

// key identifies a request at an entry: several entries may receive the same request.
type key struct{ process, request string }

// collect groups the lines by request, ordered by the time of each request's first line, and counts
// the dropped lines.
func collect(lines []trace.Line) (rqs []*request, dropped int) {
	byKey := map[key]*request{}
	for i := range lines {
		li := &lines[i]
		if li.Event == event.LogDropped.Name {
			dropped += int(number(li.Get("lines")))
		}
		id := li.Get("request")
		if id == "" || !requestEvents[li.Event] {
			continue
		}
		ke := key{li.Process, id}
		rq := byKey[ke]
		if rq == nil {
			rq = &request{at: li.At}
			byKey[ke] = rq
			rqs = append(rqs, rq)
		}
		rq.addLine(li)
	}
	slices.SortStableFunc(rqs, func(a, b *request) int { return a.at.Compare(b.at) })
	return rqs, dropped
}

// requestEvents are the events of a request's attempts and of its end.
var requestEvents = map[string]bool{
	event.AttemptBegun.Name: true, event.AttemptEnded.Name: true, event.ExchangeEnded.Name: true,
	event.ExchangeFailed.Name: true, event.ExchangeRefused.Name: true, event.ExchangeCut.Name: true,
}

// addLine applies one of the request's lines. The lines must be added in their order.
func (rq *request) addLine(li *trace.Line) {
	if route := li.Get("route"); route != "" {
		rq.route = route
	}
	switch li.Event {
	case event.AttemptBegun.Name:
		rq.prompt = core.Tokens(number(li.Get("prompt")))
		rq.attempts = append(rq.attempts, &attempt{
			model: li.Get("model"), cached: core.Tokens(number(li.Get("kept"))), prefillWait: seconds(li.Get("read")),
		})
	case event.AttemptEnded.Name:
		if n := int(number(li.Get("attempt"))); n >= 1 && n <= len(rq.attempts) {
			rq.attempts[n-1].verdict, rq.attempts[n-1].took = li.Get("verdict"), seconds(li.Get("took"))
		}
	default:
		rq.end = li
	}
}
