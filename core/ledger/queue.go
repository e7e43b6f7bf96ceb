package ledger

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"

	"skylarkstand/core"
)

// queuedBill is a bill that is not durable yet, in its stored form.
type queuedBill struct {
	id  core.AttemptID
	raw json.RawMessage
}

// queue holds the bills that wait for a segment, in order.
type queue struct {
	mu    sync.Mutex
	items []queuedBill
	bytes int
	limit int
}

// add appends a bill and reports whether there was room.
func (qu *queue) add(qb queuedBill) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.bytes+len(qb.raw) > qu.limit {
		return false
	}
	qu.items = append(qu.items, qb)
	qu.bytes += len(qb.raw)
	return true
}

// head returns the first bills that fit into a segment, at least one.
func (qu *queue) head() []queuedBill {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	size, count := 0, 0
	for count < len(qu.items) && (count == 0 || size+len(qu.items[count].raw) < segmentBytes) {
		size += len(qu.items[count].raw) + len(",")
		count++
	}
	return slices.Clone(qu.items[:count])
}

// pop removes the first count bills, which are durable.
func (qu *queue) pop(count int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, qb := range qu.items[:count] {
		qu.bytes -= len(qb.raw)
	}
	clear(qu.items[:count])
	qu.items = qu.items[count:]
}

// drop removes the bills with the given IDs, at any position.
func (qu *queue) drop(ids idSet) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.items = slices.DeleteFunc(qu.items, func(qb queuedBill) bool {
		if ids[qb.id] {
			qu.bytes -= len(qb.raw)
		}
		return ids[qb.id]
	})
}

// close makes the queue refuse further bills and returns those that wait.
func (qu *queue) close() []queuedBill {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.limit = 0
	return qu.items
}

// size returns the bytes of the bills that wait.
func (qu *queue) size() int {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.bytes
}

// ids returns the IDs of the bills that wait.
func (qu *queue) ids() idSet {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	ids := make(idSet, len(qu.items))
	for _, qb := range qu.items {
		ids[qb.id] = true
	}
	return ids
}

// idSet is a set of bill IDs.
type idSet map[core.AttemptID]bool

func (se idSet) list() []core.AttemptID {
	ids := make([]core.AttemptID, 0, len(se))
	for id := range se {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// encodeSegment returns the payload of a segment of bills.
func encodeSegment(batch []queuedBill) []byte {
	raws := make([][]byte, len(batch))
	for i, qb := range batch {
		raws[i] = qb.raw
	}
	return append(append([]byte(`{"bills":[`), bytes.Join(raws, []byte(","))...), "]}"...)
}
