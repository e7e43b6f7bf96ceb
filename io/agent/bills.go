package agent

import (
	"slices"
	"sync"

	"skylarkstand/core"
	"skylarkstand/io/frame"
)

// BillHandler receives the bills that an agent holds for an entry process, and a function that
// reports to that agent which of them are durable. It must not block.
type BillHandler func(process core.ProcessID, bills [][]byte, durable func([]core.AttemptID))

// OnBills sets the handler of the bills that agents hand over. Until it is set they are dropped;
// agents offer them again.
func (po *Pool) OnBills(fn BillHandler) { po.onBills.Store(&fn) }

// ListedEntries returns the number of entries in the platform's host list.
func (po *Pool) ListedEntries() int { return int(po.entries.Load()) }

// holders maps each attempt to the agent that holds the copy of its bill. Reporting every durable
// bill to every agent would take as many frames as agents times segments.
type holders struct {
	mu     sync.Mutex
	agents map[core.AttemptID]core.UpstreamID
}

func (ho *holders) add(at core.AttemptID, id core.UpstreamID) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.agents == nil {
		ho.agents = map[core.AttemptID]core.UpstreamID{}
	}
	ho.agents[at] = id
}

// remove returns the attempts grouped by their holders, and deletes them.
func (ho *holders) remove(ats []core.AttemptID) map[core.UpstreamID][]core.AttemptID {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	out := map[core.UpstreamID][]core.AttemptID{}
	for _, at := range ats {
		if id, ok := ho.agents[at]; ok {
			out[id] = append(out[id], at)
			delete(ho.agents, at)
		}
	}
	return out
}

// ReportBill implements [core.Upstreams].
func (po *Pool) ReportBill(id core.UpstreamID, rq core.RequestID, at core.AttemptID, bill []byte) {
	ln := po.index.Load().byID[id]
	if ln == nil {
		return
	}
	po.holders.add(at, id)
	ln.send(&frame.Frame{Body: &frame.Frame_Settled{Settled: &frame.Settled{
		Request: string(rq), Attempt: string(at), Bill: bill, Process: string(po.deps.Self),
	}}})
}

// ReportDurable reports to the agents which bills are in the store. An agent whose link is down
// gets no report; it offers its copies again later, and the answer to that reports them.
func (po *Pool) ReportDurable(ats []core.AttemptID) {
	for id, ats := range po.holders.remove(ats) {
		if ln := po.index.Load().byID[id]; ln != nil {
			ln.sendDurable(ats)
		}
	}
}

// receiveBills passes the bills that an agent hands over to the handler.
func (po *Pool) receiveBills(ln *link, to *frame.Told) {
	fn := po.onBills.Load()
	if fn == nil {
		return
	}
	(*fn)(core.ProcessID(to.Process), to.Bills, func(ats []core.AttemptID) {
		po.holders.remove(ats)
		ln.sendDurable(ats)
	})
}

// maxDurableAttempts bounds the size of one frame: an attempt's id takes about 40 bytes.
const maxDurableAttempts = 10_000

func (ln *link) sendDurable(ats []core.AttemptID) {
	for chunk := range slices.Chunk(ats, maxDurableAttempts) {
		du := &frame.Durable{}
		for _, at := range chunk {
			du.Attempts = append(du.Attempts, string(at))
		}
		ln.send(&frame.Frame{Body: &frame.Frame_Durable{Durable: du}})
	}
}
