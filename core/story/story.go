package story

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
	// before and after bound the time around a request whose beliefs belong to
	// its story: a change of the configuration or of an upstream's line is in
	// force within seconds.
	before = 10 * time.Second
	after  = time.Second
	// silent is how much later the whole log must end than a process's lines for
	// the process to have ended. One that lives writes a line for each attempt.
	silent = 2 * time.Second
)

// Story is what is known of one request.
type Story struct {
	Request core.RequestID
	// Lines are the request's own and those about what its entries believed, by
	// time.
	Lines []Line
	// Neighbours tells how the attempts of other requests ended at the
	// request's upstreams around its time.
	Neighbours []Neighbour
	// Entries tells what else came to the request's entries around its time.
	Entries []Traffic
	// Missing says what is not known, and why.
	Missing []string
}

// Traffic is what else came to an entry.
type Traffic struct {
	Process string
	// Begun counts attempts, Refused the requests that were turned away, by code.
	Begun   int
	Refused map[string]int
}

// Neighbour is what came of other requests' attempts at an upstream.
type Neighbour struct {
	Upstream string
	Begun    int
	// Ended counts the attempts whose answer was not used, by verdict.
	Ended map[string]int
}

// ends are the events that end a request whose attempts began.
var ends = names(event.ExchangeEnded, event.ExchangeCut, event.ExchangeFailed)

// wide are the events that concern all requests of a process.
var wide = names(event.Started, event.Stopping, event.Stopped, event.DrainCut, event.Reloaded, event.ReloadRefused, event.DutyFailed,
	event.ConfigAdopted, event.ConfigBroken, event.StoreDown, event.StoreBack, event.MirrorListed, event.MirrorBySibling,
	event.LogDropped, event.StoreWriteLate)

func names(evs ...*event.Event) map[string]bool {
	out := map[string]bool{}
	for _, ev := range evs {
		out[ev.Name] = true
	}
	return out
}

// Tell puts a request's story together.
func (lo *Log) Tell(id core.RequestID) Story {
	st := Story{Request: id}
	own := lo.own(id)
	if len(own) == 0 {
		st.Missing = lo.nothing()
		return st
	}
	sc := newScene(own)
	st.Lines = own
	for i := range lo.lines {
		if li := &lo.lines[i]; li.Get("request") != string(id) && sc.concerns(li) {
			st.Lines = append(st.Lines, *li)
		}
	}
	st.Lines = append(st.Lines, lo.standing(sc)...)
	slices.SortStableFunc(st.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	st.Neighbours = lo.neighbours(id, sc)
	st.Entries = lo.traffic(id, sc)
	st.Missing = lo.missing(sc, own)
	return st
}

// own lists the lines with a request's id.
func (lo *Log) own(id core.RequestID) []Line {
	var out []Line
	for i := range lo.lines {
		if lo.lines[i].Get("request") == string(id) {
			out = append(out, lo.lines[i])
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out
}

// scene is what a request touched.
type scene struct {
	from, to  time.Time
	processes map[string]bool
	upstreams map[string]bool
	services  map[string]bool
}

func newScene(own []Line) scene {
	sc := scene{
		from: own[0].At, to: own[len(own)-1].At,
		processes: map[string]bool{}, upstreams: map[string]bool{}, services: map[string]bool{},
	}
	for i := range own {
		li := &own[i]
		sc.processes[li.who()] = true
		sc.upstreams[li.Get("upstream")] = true
		sc.services[li.Get("service")] = true
	}
	delete(sc.upstreams, "")
	delete(sc.services, "")
	return sc
}

// near reports whether a line is of a process that took part, around the time.
func (sc scene) near(li *Line) bool {
	return sc.processes[li.who()] && !li.At.Before(sc.from.Add(-before)) && !li.At.After(sc.to.Add(after))
}

// concerns reports whether a line of another matter belongs to the story.
func (sc scene) concerns(li *Line) bool {
	if !sc.near(li) {
		return false
	}
	if wide[li.Event] {
		return true
	}
	if li.Get("request") != "" && li.Event != event.UpstreamAvoided.Name {
		return false // Another request's.
	}
	return sc.upstreams[li.Get("upstream")] || strings.HasPrefix(li.Event, "canary-") && sc.services[li.Get("service")]
}

// standing lists, for each process, the last line before the scene that says
// which configuration was in force, and each upstream's line of the list.
func (lo *Log) standing(sc scene) []Line {
	last := map[string]Line{}
	for i := range lo.lines {
		li := &lo.lines[i]
		if !sc.processes[li.who()] || !li.At.Before(sc.from.Add(-before)) {
			continue
		}
		switch {
		case li.Event == event.ConfigAdopted.Name, li.Event == event.Started.Name:
			last[li.who()+li.Event] = *li
		case li.Event == event.UpstreamListed.Name && sc.upstreams[li.Get("upstream")]:
			last[li.who()+li.Get("upstream")] = *li
		}
	}
	return slices.Collect(maps.Values(last))
}

// neighbours counts what came of other requests at the same upstreams.
func (lo *Log) neighbours(id core.RequestID, sc scene) []Neighbour {
	found := map[string]*Neighbour{}
	for name := range sc.upstreams {
		found[name] = &Neighbour{Upstream: name, Ended: map[string]int{}}
	}
	for i := range lo.lines {
		li := &lo.lines[i]
		ne := found[li.Get("upstream")]
		if ne == nil || li.Get("request") == string(id) || li.At.Before(sc.from.Add(-before)) || li.At.After(sc.to.Add(after)) {
			continue
		}
		switch li.Event {
		case event.AttemptBegun.Name:
			ne.Begun++
		case event.AttemptEnded.Name:
			ne.Ended[li.Get("verdict")]++
		}
	}
	var out []Neighbour
	for _, ne := range found {
		out = append(out, *ne)
	}
	slices.SortFunc(out, func(a, b Neighbour) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// traffic counts what else came to the request's entries.
func (lo *Log) traffic(id core.RequestID, sc scene) []Traffic {
	found := map[string]*Traffic{}
	for who := range sc.processes {
		found[who] = &Traffic{Process: who, Refused: map[string]int{}}
	}
	for i := range lo.lines {
		li := &lo.lines[i]
		if li.Get("request") == string(id) || !sc.near(li) {
			continue
		}
		switch li.Event {
		case event.AttemptBegun.Name:
			found[li.who()].Begun++
		case event.ExchangeRefused.Name:
			found[li.who()].Refused[li.Get("code")]++
		}
	}
	var out []Traffic
	for _, tr := range found {
		out = append(out, *tr)
	}
	slices.SortFunc(out, func(a, b Traffic) int { return cmp.Compare(a.Process, b.Process) })
	return out
}

// nothing says why no line has the id.
func (lo *Log) nothing() []string {
	out := []string{"no line has this id: the request did not come to any of these processes, or its lines were left out"}
	out = append(out, lo.leftOut(func(*Line) bool { return true })...)
	return append(out, lo.unreadable()...)
}

// missing says what the lines do not tell.
func (lo *Log) missing(sc scene, own []Line) []string {
	var out []string
	for who := range sc.processes {
		out = append(out, lo.unended(who, own)...)
	}
	out = append(out, lo.leftOut(sc.near)...)
	out = append(out, lo.unreadable()...)
	slices.Sort(out)
	return out
}

// unended tells of a process that took the request and never says how it ended.
func (lo *Log) unended(who string, own []Line) []string {
	begun, ended := 0, 0
	var last *Line
	for i := range own {
		li := &own[i]
		if li.who() != who {
			continue
		}
		last = li
		if li.Event == event.AttemptBegun.Name && li.Get("attempt") == "1" {
			begun++
		}
		if ends[li.Event] && li.Get("attempts") != "0" {
			ended++
		}
	}
	if begun <= ended {
		return nil
	}
	end := lo.last(func(li *Line) bool { return li.who() == who })
	all := lo.last(func(*Line) bool { return true })
	var why string
	switch {
	case end.Event == event.Stopped.Name:
		why = "its planned stop cut the request off"
	case all.At.Sub(end.At) > silent:
		why = "others wrote on, so it was killed, or its host lost power or was paused"
	default:
		why = "the line was left out, or the request was still under way when the log ends"
	}
	return []string{fmt.Sprintf("%s does not say how the request ended: its last line about it is %s at %s, its last line of all %s at %s: %s",
		short(who), last.Event, clock(last.At), end.Event, clock(end.At), why)}
}

// last returns the last line of those that match.
func (lo *Log) last(match func(*Line) bool) Line {
	var out Line
	for i := range lo.lines {
		if li := &lo.lines[i]; match(li) && !li.At.Before(out.At) {
			out = *li
		}
	}
	return out
}

// leftOut tells of the lines that processes left out.
func (lo *Log) leftOut(near func(*Line) bool) []string {
	var out []string
	for i := range lo.lines {
		if li := &lo.lines[i]; li.Event == event.LogDropped.Name && near(li) {
			out = append(out, fmt.Sprintf("%s left out %s lines of %s in the second or so before %s",
				short(li.who()), li.Get("lines"), li.Get("of"), clock(li.At)))
		}
	}
	return out
}

func (lo *Log) unreadable() []string {
	var out []string
	for source, n := range lo.unread {
		out = append(out, fmt.Sprintf("%d lines of %s are not a process's", n, source))
	}
	slices.Sort(out)
	return out
}
