// Package eventqueue runs the events of discrete-event simulations in tests, in the order of their
// virtual times.
//
// # Usage
//
//	var qu eventqueue.Queue
//	qu.Schedule(now.Add(time.Second), func(at time.Time) { … })
//	qu.Run()
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a queue of events ordered by time. The zero value is ready to use. It is not safe for
// concurrent use.
type Queue struct{ evs events }

// Schedule schedules a function, which is called with its time. Events may schedule further events.
func (qu *Queue) Schedule(when time.Time, run func(at time.Time)) {
	heap.Push(&qu.evs, event{when, run})
}

// Run runs events until the queue is empty.
func (qu *Queue) Run() {
	for len(qu.evs) > 0 {
		qu.next()
	}
}

// RunBefore runs events whose time is before end, and keeps the others.
func (qu *Queue) RunBefore(end time.Time) {
	for len(qu.evs) > 0 && qu.evs[0].at.Before(end) {
		qu.next()
	}
}

// next removes the earliest event and runs it.
func (qu *Queue) next() {
	ev := heap.Pop(&qu.evs).(event)
	ev.run(ev.at)
}

type event struct {
	at  time.Time
	run func(time.Time)
}

// events is a min-heap by time. It implements heap.Interface.
type events []event

func (evs events) Len() int           { return len(evs) }
func (evs events) Less(i, j int) bool { return evs[i].at.Before(evs[j].at) }
func (evs events) Swap(i, j int)      { evs[i], evs[j] = evs[j], evs[i] }
func (evs *events) Push(ev any)       { *evs = append(*evs, ev.(event)) }
func (evs *events) Pop() any {
	old := *evs
	ev := old[len(old)-1]
	*evs = old[:len(old)-1]
	return ev
}
