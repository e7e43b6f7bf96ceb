package losses

import (
	"cmp"
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/story"
)

// request is one request as the lines of its entry tell it.
type request struct {
	at    time.Time
	route string
	// prompt is the tokens of its prompt.
	prompt   core.Tokens
	attempts []*attempt
	end      *story.Line
}

// attempt is one attempt at an upstream. A verdict is set only when its answer
// was not used.
type attempt struct {
	model      string
	kept       core.Tokens
	read, took time.Duration
	verdict    string
}

// Row sums the requests of one route, or of one span of time.
type Row struct {
	Name     string
	Requests int
	// Lost counts the requests by cause, without those on time.
	Lost map[Cause]int
}

// Work is what one model was asked for.
type Work struct {
	Model string
	// Attempts counts those that began, and Doubted those whose answer was
	// dropped for a larger model's.
	Attempts, Doubted int
	// Read is the tokens that had to be read, and Kept those that were thought
	// to be in memory.
	Read, Kept core.Tokens
}

// Table is what callers lost, and why.
type Table struct {
	Total Row
	// Routes are by name, with the requests that no route is known of under an
	// empty one; Spans by time, from the first request.
	Routes, Spans []Row
	Work          []Work
	// Dropped counts the lines that processes left out.
	Dropped int
}

// Count sums the requests that lines tell of, over spans of time.
func Count(lines []story.Line, span time.Duration) Table {
	rqs, dropped := gather(lines)
	ta := Table{Total: newRow("all"), Dropped: dropped}
	if len(rqs) == 0 {
		return ta
	}
	routes, work := map[string]*Row{}, map[string]*Work{}
	began := rqs[0].at
	for _, rq := range rqs {
		ca := rq.cause()
		ta.Total.add(ca)
		routeRow(routes, rq.route).add(ca)
		ta.span(rq.at.Sub(began), span).add(ca)
		rq.work(work)
	}
	ta.Routes = sorted(routes, func(ro *Row) string { return ro.Name })
	ta.Work = sorted(work, func(wo *Work) string { return wo.Model })
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

// span returns the row of a time since the first request.
func (ta *Table) span(since, span time.Duration) *Row {
	at := int(since / span)
	for len(ta.Spans) <= at {
		ta.Spans = append(ta.Spans, newRow((time.Duration(len(ta.Spans)) * span).String()))
	}
	return &ta.Spans[at]
}

func (ro *Row) add(ca Cause) {
	ro.Requests++
	if ca != OnTime {
		ro.Lost[ca]++
	}
}

func (rq *request) work(work map[string]*Work) {
	for _, at := range rq.attempts {
		if at.model == "" {
			continue
		}
		wo := work[at.model]
		if wo == nil {
			wo = &Work{Model: at.model}
			work[at.model] = wo
		}
		wo.Attempts++
		if at.verdict == "unsure" {
			wo.Doubted++
		}
		wo.Kept += min(at.kept, rq.prompt)
		wo.Read += max(rq.prompt-at.kept, 0)
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

// key tells requests apart: the same one may come to several entries.
type key struct{ process, request string }

// gather puts the lines of each request together, by their first line's time.
func gather(lines []story.Line) (rqs []*request, dropped int) {
	known := map[key]*request{}
	for i := range lines {
		li := &lines[i]
		if li.Event == event.LogDropped.Name {
			dropped += int(number(li.Get("lines")))
		}
		id := li.Get("request")
		if id == "" || !tells[li.Event] {
			continue
		}
		ke := key{li.Process, id}
		rq := known[ke]
		if rq == nil {
			rq = &request{at: li.At}
			known[ke] = rq
			rqs = append(rqs, rq)
		}
		rq.take(li)
	}
	slices.SortStableFunc(rqs, func(a, b *request) int { return a.at.Compare(b.at) })
	return rqs, dropped
}

// tells are the events that tell of a request's way.
var tells = map[string]bool{
	event.AttemptBegun.Name: true, event.AttemptEnded.Name: true, event.ExchangeEnded.Name: true,
	event.ExchangeFailed.Name: true, event.ExchangeRefused.Name: true, event.ExchangeCut.Name: true,
}

// take takes in one of the request's lines, in their order.
func (rq *request) take(li *story.Line) {
	if route := li.Get("route"); route != "" {
		rq.route = route
	}
	switch li.Event {
	case event.AttemptBegun.Name:
		rq.prompt = core.Tokens(number(li.Get("prompt")))
		rq.attempts = append(rq.attempts, &attempt{
			model: li.Get("model"), kept: core.Tokens(number(li.Get("kept"))), read: seconds(li.Get("read")),
		})
	case event.AttemptEnded.Name:
		if n := int(number(li.Get("attempt"))); n >= 1 && n <= len(rq.attempts) {
			rq.attempts[n-1].verdict, rq.attempts[n-1].took = li.Get("verdict"), seconds(li.Get("took"))
		}
	default:
		rq.end = li
	}
}
