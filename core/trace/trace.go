package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
)

const (
	// timeBefore and timeAfter are the time span around a request from which the lines about the
	// state of its entries are included: a change of the configuration or of an upstream's list
	// entry is in force within seconds.
	timeBefore = 10 * time.Second
	timeAfter  = time.Second
	// endedAfter is how long before the end of all logs the last line of a process must be for the
	// process to be considered ended. A running process logs a line for each attempt.
	endedAfter = 2 * time.Second
)

// Trace holds the reconstruction of one request.
type Trace struct {
	Request core.RequestID
	// Lines are the request's own lines and those about the state of its entries, ordered by time.
	Lines []Line
	// Upstreams counts the attempts of other requests at the request's upstreams around its time.
	Upstreams []UpstreamTraffic
	// Entries counts the other requests at the request's entries around its time.
	Entries []EntryTraffic
	// Missing lists the reasons why the logs of the request's processes may be incomplete.
	Missing []string
}

// EntryTraffic counts the other requests at an entry.
type EntryTraffic struct {
	Process string
	// Begun counts the attempts, Refused the refused requests by code.
	Begun   int
	Refused map[string]int
}

// UpstreamTraffic counts the attempts of other requests at an upstream.
type UpstreamTraffic struct {
	Upstream string
	Begun    int
	// Ended counts the attempts whose answer was not used, by verdict.
	Ended map[string]int
}

// endEvents are the events that end a request with attempts.
var endEvents = nameSet(event.ExchangeEnded, event.ExchangeCut, event.ExchangeFailed)

// processEvents are the events that concern all requests of a process.
var processEvents = nameSet(event.Started, event.Stopping, event.Stopped, event.DrainCut, event.Reloaded, event.ReloadRefused, event.DutyFailed,
	event.ConfigAdopted, event.ConfigBroken, event.StoreDown, event.StoreBack, event.MirrorListed, event.MirrorBySibling,
	event.LogDropped, event.StoreWriteLate)

func nameSet(evs ...*event.Event) map[string]bool {
	out := map[string]bool{}
	for _, ev := range evs {
		out[ev.Name] = true
	}
	return out
}

// Trace reconstructs a request.
func (lo *Log) Trace(id core.RequestID) Trace {
	tr := Trace{Request: id}
	own := lo.requestLines(id)
	if len(own) == 0 {
		tr.Missing = lo.explainNoLines()
		return tr
	}
	sc := newScope(own)
	tr.Lines = own
	for i := range lo.lines {
		if li := &lo.lines[i]; li.Get("request") != string(id) && sc.includes(li) {
			tr.Lines = append(tr.Lines, *li)
		}
	}
	tr.Lines = append(tr.Lines, lo.initialState(sc)...)
	slices.SortStableFunc(tr.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	tr.Upstreams = lo.upstreamTraffic(id, sc)
	tr.Entries = lo.entryTraffic(id, sc)
	tr.Missing = lo.explainGaps(sc, own)
	return tr
}

// requestLines lists the lines with a request's id, ordered by time.
func (lo *Log) requestLines(id core.RequestID) []Line {
	var out []Line
	for i := range lo.lines {
		if lo.lines[i].Get("request") == string(id) {
			out = append(out, lo.lines[i])
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out
}

// scope is the time span of a request, and the processes, upstreams and services that it involved.
type scope struct {
	from, to  time.Time
	processes map[string]bool
	upstreams map[string]bool
	services  map[string]bool
}

func newScope(own []Line) scope {
	sc := scope{
		from: own[0].At, to: own[len(own)-1].At,
		processes: map[string]bool{}, upstreams: map[string]bool{}, services: map[string]bool{},
	}
	for i := range own {
		li := &own[i]
		sc.processes[li.processName()] = true
		sc.upstreams[li.Get("upstream")] = true
		sc.services[li.Get("service")] = true
	}
	delete(sc.upstreams, "")
	delete(sc.services, "")
	return sc
}

// covers reports whether a line was written by one of the processes around the time of the request.
func (sc scope) covers(li *Line) bool {
	return sc.processes[li.processName()] && !li.At.Before(sc.from.Add(-timeBefore)) && !li.At.After(sc.to.Add(timeAfter))
}

// includes reports whether a line without the request's id belongs to the trace.
func (sc scope) includes(li *Line) bool {
	if !sc.covers(li) {
		return false
	}
	if processEvents[li.Event] {
		return true
	}
	if li.Get("request") != "" && li.Event != event.UpstreamAvoided.Name {
		return false // The line concerns another request.
	}
	return sc.upstreams[li.Get("upstream")] || strings.HasPrefix(li.Event, "canary-") && sc.services[li.Get("service")]
}

// initialState returns, for each process, the last lines before the scope about its start, the
// configuration in force and the list entry of each upstream.
func (lo *Log) initialState(sc scope) []Line {
	last := map[string]Line{}
	for i := range lo.lines {
		li := &lo.lines[i]
		if !sc.processes[li.processName()] || !li.At.Before(sc.from.Add(-timeBefore)) {
			continue
		}
		switch {
		case li.Event == event.ConfigAdopted.Name, li.Event == event.Started.Name:
			last[li.processName()+li.Event] = *li
		case li.Event == event.UpstreamListed.Name && sc.upstreams[li.Get("upstream")]:
			last[li.processName()+li.Get("upstream")] = *li
		}
	}
	return slices.Collect(maps.Values(last))
}

// upstreamTraffic counts the attempts of other requests at the same upstreams.
func (lo *Log) upstreamTraffic(id core.RequestID, sc scope) []UpstreamTraffic {
	counts := map[string]*UpstreamTraffic{}
	for name := range sc.upstreams {
		counts[name] = &UpstreamTraffic{Upstream: name, Ended: map[string]int{}}
	}
	for i := range lo.lines {
		li := &lo.lines[i]
		ut := counts[li.Get("upstream")]
		if ut == nil || li.Get("request") == string(id) || li.At.Before(sc.from.Add(-timeBefore)) || li.At.After(sc.to.Add(timeAfter)) {
			continue
		}
		switch li.Event {
		case event.AttemptBegun.Name:
			ut.Begun++
		case event.AttemptEnded.Name:
			ut.Ended[li.Get("verdict")]++
		}
	}
	var out []UpstreamTraffic
	for _, ut := range counts {
		out = append(out, *ut)
	}
	slices.SortFunc(out, func(a, b UpstreamTraffic) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// entryTraffic counts the other requests at the request's entries.
func (lo *Log) entryTraffic(id core.RequestID, sc scope) []EntryTraffic {
	counts := map[string]*EntryTraffic{}
	for process := range sc.processes {
		counts[process] = &EntryTraffic{Process: process, Refused: map[string]int{}}
	}
	for i := range lo.lines {
		li := &lo.lines[i]
		if li.Get("request") == string(id) || !sc.covers(li) {
			continue
		}
		switch li.Event {
		case event.AttemptBegun.Name:
			counts[li.processName()].Begun++
		case event.ExchangeRefused.Name:
			counts[li.processName()].Refused[li.Get("code")]++
		}
	}
	var out []EntryTraffic
	for _, et := range counts {
		out = append(out, *et)
	}
	slices.SortFunc(out, func(a, b EntryTraffic) int { return cmp.Compare(a.Process, b.Process) })
	return out
}

// explainNoLines lists the possible reasons why no line has the request's id.
func (lo *Log) explainNoLines() []string {
	out := []string{"no line has this id: the request did not reach any of these processes, or its lines were dropped"}
	out = append(out, lo.droppedLines(func(*Line) bool { return true })...)
	return append(out, lo.unparsedLines()...)
}

// explainGaps lists the reasons why the logs of the request's processes may be incomplete.
func (lo *Log) explainGaps(sc scope, own []Line) []string {
	var out []string
	for process := range sc.processes {
		out = append(out, lo.explainMissingEnd(process, own)...)
	}
	out = append(out, lo.droppedLines(sc.covers)...)
	out = append(out, lo.unparsedLines()...)
	slices.Sort(out)
	return out
}

// explainMissingEnd explains why a process that accepted the request has not logged how it ended. It
// returns nothing if the process has.
func (lo *Log) explainMissingEnd(process string, own []Line) []string {
	begun, ended := 0, 0
	var last *Line
	for i := range own {
		li := &own[i]
		if li.processName() != process {
			continue
		}
		last = li
		if li.Event == event.AttemptBegun.Name && li.Get("attempt") == "1" {
			begun++
		}
		if endEvents[li.Event] && li.Get("attempts") != "0" {
			ended++
		}
	}
	if begun <= ended {
		return nil
	}
	end := lo.lastLine(func(li *Line) bool { return li.processName() == process })
	all := lo.lastLine(func(*Line) bool { return true })
	var why string
	switch {
	case end.Event == event.Stopped.Name:
		why = "its planned stop cut the request off"
	case all.At.Sub(end.At) > endedAfter:
		why = "other processes kept logging, so it was killed, or its host lost power or was paused"
	default:
		why = "the line was dropped, or the request was still in flight when the log ended"
	}
	return []string{fmt.Sprintf("%s did not log how the request ended: its last line about the request is %s at %s, its last line in the log is %s at %s: %s",
		shortName(process), last.Event, clock(last.At), end.Event, clock(end.At), why)}
}

// lastLine returns the latest line that matches.
func (lo *Log) lastLine(match func(*Line) bool) Line {
	var out Line
	for i := range lo.lines {
		if li := &lo.lines[i]; match(li) && !li.At.Before(out.At) {
			out = *li
		}
	}
	return out
}

// droppedLines lists the reports of dropped lines that match.
func (lo *Log) droppedLines(match func(*Line) bool) []string {
	var out []string
	for i := range lo.lines {
		if li := &lo.lines[i]; li.Event == event.LogDropped.Name && match(li) {
			out = append(out, fmt.Sprintf("%s dropped %s lines of %s in about the second before %s",
				shortName(li.processName()), li.Get("lines"), li.Get("of"), clock(li.At)))
		}
	}
	return out
}

func (lo *Log) unparsedLines() []string {
	var out []string
	for source, n := range lo.unparsed {
		out = append(out, fmt.Sprintf("%d lines of %s are not log lines of a process", n, source))
	}
	slices.Sort(out)
	return out
}
