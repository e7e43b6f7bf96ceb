package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/event"
)

// Writer is the ledger of one entry process. It is safe for concurrent use.
type Writer struct {
	deps    core.Deps
	chain   *chain.Chain
	pace    time.Duration
	durable func([]Bill)

	mu      sync.Mutex
	pending []Bill

	// writing is held by the one goroutine that writes a segment.
	writing sync.Mutex
	next    uint64
}

// Option changes a Writer at construction.
type Option func(*Writer)

// Pace sets the time between segments. Default two seconds.
func Pace(d time.Duration) Option { return func(wr *Writer) { wr.pace = d } }

// OnDurable sets what is called with the bills of a segment that stands in
// the store.
func OnDurable(fn func([]Bill)) Option { return func(wr *Writer) { wr.durable = fn } }

// Prefix is where ledger chains stand in the store.
const Prefix = "ledger/"

const defaultPace = 2 * time.Second

// New returns the ledger of the process in deps.
func New(deps core.Deps, st core.Store, opts ...Option) *Writer {
	wr := &Writer{
		deps: deps, chain: chain.New(st, Prefix+string(deps.Self)),
		pace: defaultPace, durable: func([]Bill) {}, next: 1,
	}
	for _, opt := range opts {
		opt(wr)
	}
	return wr
}

// Add files a bill for the next segment. It does not block.
func (wr *Writer) Add(bi Bill) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.pending = append(wr.pending, bi)
}

// Serve writes segments until the context ends. Flush must follow.
func (wr *Writer) Serve(ctx context.Context) error {
	tick := time.NewTicker(wr.pace)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			if err := wr.Flush(ctx); err != nil && ctx.Err() == nil {
				event.Log(wr.deps.Log, event.SegmentLate, "error", err)
			}
		}
	}
}

// segmentBills bounds a segment so that its value stays below the store's
// megabyte: a bill with the stages of a cascade takes about 500 bytes.
const segmentBills = 1500

// Flush writes all bills that wait. Those that could not be written stay.
func (wr *Writer) Flush(ctx context.Context) error {
	wr.writing.Lock()
	defer wr.writing.Unlock()
	for {
		wr.mu.Lock()
		count := min(len(wr.pending), segmentBills)
		batch := wr.pending[:count:count]
		wr.mu.Unlock()
		if count == 0 {
			return nil
		}
		raw, err := json.Marshal(Segment{Bills: batch})
		if err != nil {
			return err
		}
		if err := wr.chain.Create(ctx, wr.next, raw); err != nil {
			return err
		}
		wr.next++
		wr.mu.Lock()
		wr.pending = wr.pending[count:]
		wr.mu.Unlock()
		event.Log(wr.deps.Log, event.SegmentWritten, "bills", count)
		wr.durable(batch)
	}
}
