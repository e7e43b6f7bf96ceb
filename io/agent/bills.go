package agent

import (
	"slices"
	"sync"

	"skylarkstand/core"
	"skylarkstand/io/frame"
)

// Offered takes the bills that an agent holds of a process, and what tells the
// agent that bills are durable. It does not block.
type Offered func(process core.ProcessID, bills [][]byte, durable func([]core.AttemptID))

// OnOffered sets what takes bills that agents hand over. Until then they are
// dropped; agents offer them again.
func (po *Pool) OnOffered(fn Offered) { po.offered.Store(&fn) }

// Listed returns the number of entries on the platform's host list.
func (po *Pool) Listed() int { return int(po.entries.Load()) }

// holders knows which agent has the copy of a bill. Telling every agent of
// every bill would take frames in the number of agents times segments.
type holders struct {
	mu sync.Mutex
	by map[core.AttemptID]core.UpstreamID
}

func (ho *holders) add(at core.AttemptID, id core.UpstreamID) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.by == nil {
		ho.by = map[core.AttemptID]core.UpstreamID{}
	}
	ho.by[at] = id
}

// remove returns the attempts by their holders and forgets them.
func (ho *holders) remove(ats []core.AttemptID) map[core.UpstreamID][]core.AttemptID {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	out := map[core.UpstreamID][]core.AttemptID{}
	for _, at := range ats {
		if id, ok := ho.by[at]; ok {
			out[id] = append(out[id], at)
			delete(ho.by, at)
		}
	}
	return out
}

// Settle implements [core.Upstreams].
func (po *Pool) Settle(id core.UpstreamID, rq core.RequestID, at core.AttemptID, bill []byte) {
	ln := po.index.Load().byID[id]
	if ln == nil {
		return
	}
	po.holders.add(at, id)
	ln.send(&frame.Frame{Body: &frame.Frame_Settled{Settled: &frame.Settled{
		Request: string(rq), Attempt: string(at), Bill: bill, Process: string(po.deps.Self),
	}}})
}

// Durable tells the agents that bills stand in the store. An agent whose link
// is away is not told; it asks by itself after a while.
func (po *Pool) Durable(ats []core.AttemptID) {
	for id, ats := range po.holders.remove(ats) {
		if ln := po.index.Load().byID[id]; ln != nil {
			ln.durable(ats)
		}
	}
}

// told takes the bills that an agent hands over.
func (po *Pool) told(ln *link, to *frame.Told) {
	fn := po.offered.Load()
	if fn == nil {
		return
	}
	(*fn)(core.ProcessID(to.Process), to.Bills, func(ats []core.AttemptID) {
		po.holders.remove(ats)
		ln.durable(ats)
	})
}

// durableAttempts bounds one frame: an attempt's id takes about 40 bytes.
const durableAttempts = 10_000

func (ln *link) durable(ats []core.AttemptID) {
	for some := range slices.Chunk(ats, durableAttempts) {
		du := &frame.Durable{}
		for _, at := range some {
			du.Attempts = append(du.Attempts, string(at))
		}
		ln.send(&frame.Frame{Body: &frame.Frame_Durable{Durable: du}})
	}
}
