package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
)

// Writer is the ledger of one entry process. It is safe for concurrent use.
type Writer struct {
	deps        core.Deps
	chains      *chains
	minInterval time.Duration
	budget      float64
	liveEntries func() int
	onDurable   func([]core.AttemptID)
	queue       queue

	// sem is held by the one goroutine that reads or writes the chains. It is a channel so that a
	// stop can give up waiting for it.
	sem chan struct{}
	// pending is the segment whose write is not settled; indexed reports whether the process is in
	// the index. Both belong to the holder of sem.
	pending *segment
	indexed bool

	// mu guards the position of the next segment, which Floor reads.
	mu     sync.Mutex
	floor  Floor
	sealed bool
}

// segment is one write. It keeps its nonce and content until it is known whether its entry is this
// segment or another's: the write may still be in flight, and the chain identifies the writer of an
// entry by the nonce.
type segment struct {
	nonce string
	batch []queuedBill
	raw   []byte
}

// Option changes a Writer at construction.
type Option func(*Writer)

// MinInterval sets the shortest time between two segments. The default is two seconds.
func MinInterval(d time.Duration) Option { return func(wr *Writer) { wr.minInterval = d } }

// WriteBudget sets the writes per second that the ledgers of all live entries together may use, see
// [Interval].
func WriteBudget(writes float64, live func() int) Option {
	return func(wr *Writer) { wr.budget, wr.liveEntries = writes, live }
}

// MaxWaitingBytes bounds the bills that wait, in bytes.
//
// The default is sized for a store that is down for hours. An entry at 53 requests a second
// produces 16 kB of bills a second, so the default holds more than four hours of bills. Beyond the
// bound a bill is logged in full as lost; its agent still holds a copy and offers it once the store
// answers. Refusing requests instead would turn an outage of the store into an outage of the
// service.
func MaxWaitingBytes(bytes int) Option { return func(wr *Writer) { wr.queue.limit = bytes } }

// OnDurable sets the function that is called with the IDs of bills once they are in the store.
func OnDurable(fn func([]core.AttemptID)) Option { return func(wr *Writer) { wr.onDurable = fn } }

const (
	defaultMinInterval     = 2 * time.Second
	defaultMaxWaitingBytes = 256 << 20
	// segmentBytes bounds the bills of a segment, so that its value with the envelope stays below
	// the store's limit of a megabyte.
	segmentBytes = 900_000
	// writeTimeout bounds one attempt to write, so that a store that loses replies does not block a
	// stop or a Reclaim that waits for sem.
	writeTimeout = 5 * time.Second
)

// New returns the ledger writer of the process in deps.
func New(deps core.Deps, st core.Store, opts ...Option) *Writer {
	wr := &Writer{
		deps: deps, chains: openChains(st, deps.Self), minInterval: defaultMinInterval,
		liveEntries: func() int { return 1 }, onDurable: func([]core.AttemptID) {},
		queue: queue{limit: defaultMaxWaitingBytes}, sem: make(chan struct{}, 1), floor: Floor{Own: 1, Takeover: 1},
	}
	for _, opt := range opts {
		opt(wr)
	}
	return wr
}

// Floor returns the first entries that can hold a bill that is added from now on.
func (wr *Writer) Floor() Floor {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.floor
}

// Add enqueues a bill for the next segment. It does not block. It must be called before an agent
// receives its copy: a successor could otherwise file the agent's copy in an entry that this writer
// has already read, and the bill would be stored twice.
func (wr *Writer) Add(bi Bill) {
	raw, err := json.Marshal(bi)
	if err != nil || !wr.queue.add(queuedBill{bi.ID(), raw}) {
		wr.logLost(raw)
	}
}

func (wr *Writer) logLost(raw []byte) {
	meter.BillsLost.Inc(wr.deps.Metrics)
	event.Log(wr.deps.Log, event.BillLost, "bill", string(raw))
}

// Serve writes one segment per interval until the context ends. Close must follow.
//
// One segment per interval is enough: it holds thousands of bills. After an outage all entries have
// segments waiting, and writing them at once would take the store's write rate from the claims that
// callers wait for; so the budget applies then as well.
func (wr *Writer) Serve(ctx context.Context) error {
	wait := phase(wr.deps.Self, wr.interval())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		wctx, cancel := context.WithTimeout(ctx, writeTimeout)
		if _, err := wr.writeNextSegment(wctx); err != nil && ctx.Err() == nil {
			event.Log(wr.deps.Log, event.SegmentLate, "error", err)
		}
		cancel()
		meter.LedgerWaitingBytes.Set(wr.deps.Metrics, float64(wr.queue.size()))
		wait = wr.interval()
	}
}

func (wr *Writer) interval() time.Duration {
	return Interval(wr.budget, wr.liveEntries(), wr.minInterval)
}

// Close writes the waiting bills, for at most limit, and logs each bill that could not be written.
// Bills that are added later are logged as lost.
func (wr *Writer) Close(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := wr.Flush(ctx)
	for _, qb := range wr.queue.close() {
		wr.logLost(qb.raw)
	}
	return err
}

func (wr *Writer) acquire(ctx context.Context) error {
	select {
	case wr.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrStoreUnavailable
	}
}

func (wr *Writer) release() { <-wr.sem }

// Flush writes all waiting bills. Those that could not be written keep waiting.
func (wr *Writer) Flush(ctx context.Context) error {
	for {
		if more, err := wr.writeNextSegment(ctx); err != nil || !more {
			return err
		}
	}
}

// writeNextSegment tries to write the pending segment, or a new one of the waiting bills, and
// reports whether there was one to write.
func (wr *Writer) writeNextSegment(ctx context.Context) (bool, error) {
	if err := wr.acquire(ctx); err != nil {
		return false, err
	}
	defer wr.release()
	if wr.pending == nil && !wr.beginSegment() {
		return false, nil
	}
	return true, wr.writeSegment(ctx)
}

// beginSegment creates the pending segment from the first waiting bills and reports whether there
// were any.
func (wr *Writer) beginSegment() bool {
	batch := wr.queue.head()
	if len(batch) == 0 {
		return false
	}
	wr.pending = &segment{nonce: core.NewID(), batch: batch, raw: encodeSegment(batch)}
	return true
}

// writeSegment tries to settle the pending segment. After an error the segment stays pending and
// the same record is written again.
func (wr *Writer) writeSegment(ctx context.Context) error {
	if !wr.indexed {
		if err := wr.chains.addToIndex(ctx); err != nil {
			return err
		}
		wr.indexed = true
	}
	ch, n := wr.nextEntry()
	err := ch.CreateAs(ctx, n, wr.pending.nonce, wr.pending.raw)
	switch {
	case err == nil:
		wr.confirmSegment(n)
		return nil
	case errors.Is(err, chain.ErrSealed):
		wr.switchToTakeover(n)
		return nil
	case errors.Is(err, chain.ErrTaken):
		return wr.skipEntry(ctx, ch, n)
	default:
		return storeError(err)
	}
}

func (wr *Writer) nextEntry() (*chain.Chain, uint64) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.sealed {
		return wr.chains.takeover, wr.floor.Takeover
	}
	return wr.chains.own, wr.floor.Own
}

// advance moves to the entry after n.
func (wr *Writer) advance(n uint64) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.sealed {
		wr.floor.Takeover = n + 1
	} else {
		wr.floor.Own = n + 1
	}
	wr.pending = nil
}

func (wr *Writer) confirmSegment(n uint64) {
	batch := wr.pending.batch
	wr.queue.pop(len(batch))
	wr.advance(n)
	event.Log(wr.deps.Log, event.SegmentWritten, "bills", len(batch))
	ids := make([]core.AttemptID, len(batch))
	for i, qb := range batch {
		ids[i] = qb.id
	}
	wr.onDurable(ids)
}

// switchToTakeover leaves this process's own chain, which a successor has sealed at entry n because
// it considered this process gone. Continuing in that chain would file bills that the successor has
// already filed from the agents' copies: after each long pause of an entry, bills would be stored
// twice.
// In the takeover chain every entry of a successor is read before the next one is written.
func (wr *Writer) switchToTakeover(n uint64) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.floor.Own, wr.sealed, wr.pending = n, true, nil
	event.Log(wr.deps.Log, event.LedgerSealed, "process", wr.deps.Self, "entry", n)
}

// skipEntry reads an entry that a successor wrote. The bills in it are durable and must not be
// written again.
func (wr *Writer) skipEntry(ctx context.Context, ch *chain.Chain, n uint64) error {
	en, err := ch.Read(ctx, n)
	if err != nil {
		return storeError(err)
	}
	ta := tail{found: idSet{}}
	if err := ta.addBills(en); err != nil {
		return err
	}
	wr.queue.drop(ta.found)
	wr.advance(n)
	wr.onDurable(ta.found.list())
	return nil
}

// Reclaim takes back the copies that agents still hold of this process's bills, either because they
// were never notified that a bill is durable or because the queue was full when the bill was added.
// It returns the IDs of the durable ones; the rest wait for a segment.
//
// It holds sem while it reads: between its last read and the add, the writer must not skip an entry
// that holds one of these bills.
func (wr *Writer) Reclaim(ctx context.Context, copies []Copy) ([]core.AttemptID, error) {
	if err := wr.acquire(ctx); err != nil {
		return nil, err
	}
	defer wr.release()
	waiting := wr.queue.ids()
	copies = slices.DeleteFunc(slices.Clone(copies), func(co Copy) bool { return waiting[co.Bill.ID()] })
	if len(copies) == 0 {
		return nil, nil
	}
	fl := lowestFloor(copies)
	ta, err := readTail(ctx, wr.chains.own, fl.Own, idSet{})
	if err == nil && ta.sealed {
		ta, err = readTail(ctx, wr.chains.takeover, fl.Takeover, ta.found)
	}
	if err != nil {
		return nil, err
	}
	var durable []core.AttemptID
	for _, co := range copies {
		id := co.Bill.ID()
		if ta.found[id] {
			durable = append(durable, id)
		} else {
			wr.requeue(co.Bill)
		}
	}
	return durable, nil
}

// requeue enqueues a bill that did not fit before. If it does not fit now, the agent keeps it and
// offers it again; it was logged as lost when it was first added.
func (wr *Writer) requeue(bi Bill) {
	if raw, err := json.Marshal(bi); err == nil {
		wr.queue.add(queuedBill{bi.ID(), raw})
	}
}

// lowestFloor returns the lower bound of the floors of all copies.
func lowestFloor(copies []Copy) Floor {
	fl := copies[0].Floor
	for _, co := range copies[1:] {
		fl = fl.lower(co.Floor)
	}
	return fl
}
