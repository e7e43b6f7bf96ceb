// Package eventqueue runs the events of simulations in tests in the order of their
// virtual times.
//
// # Usage
//
//	var qu eventqueue.Queue
//	qu.At(now.Add(time.Second), func(at time.Time) { … })
//	qu.Run()
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is ready to use in its zero value. It belongs to one goroutine.
type Queue struct{ evs events }

// At has a function run at a time, which it is given. Events may add further ones.
func (qu *Queue) At(when time.Time, run func(at time.Time)) {
	heap.Push(&qu.evs, event{when, run})
}

// Run runs events until there are none.
func (qu *Queue) Run() {
	for len(qu.evs) > 0 {
		qu.next()
	}
}

// RunBefore runs the events before a time.
func (qu *Queue) RunBefore(end time.Time) {
	for len(qu.evs) > 0 && qu.evs[0].at.Before(end) {
		qu.next()
	}
}

func (qu *Queue) next() {
	ev := heap.Pop(&qu.evs).(event)
	ev.run(ev.at)
}

type event struct {
	at  time.Time
	run func(time.Time)
}

// events implements heap.Interface.
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
