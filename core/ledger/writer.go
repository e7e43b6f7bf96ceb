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
	deps     core.Deps
	chains   *chains
	shortest time.Duration
	budget   float64
	live     func() int
	durable  func([]core.AttemptID)
	queue    queue

	// turn is held by the one goroutine that reads or writes the chains. It is
	// a channel so that a stop can give up waiting for it.
	turn chan struct{}
	// open is the segment whose write is not settled; enlisted tells that the
	// process stands in the index. Both belong to the holder of turn.
	open     *segment
	enlisted bool

	// mu guards the place of the next segment, which Floor reads.
	mu     sync.Mutex
	floor  Floor
	sealed bool
}

// segment is one write. It stays the same, nonce and all, until its entry is
// known to be taken by it or by another: the write may be on its way still, and
// the chain tells by the nonce whose the entry is.
type segment struct {
	nonce string
	batch []waiting
	raw   []byte
}

// Option changes a Writer at construction.
type Option func(*Writer)

// Pace sets the shortest time between two segments. Default two seconds.
func Pace(d time.Duration) Option { return func(wr *Writer) { wr.shortest = d } }

// Budget sets the writes a second that the ledgers of all live entries
// together may take of the store, see [Interval].
func Budget(writes float64, live func() int) Option {
	return func(wr *Writer) { wr.budget, wr.live = writes, live }
}

// Memory bounds the bills that wait, in bytes.
//
// The load it is made for is a store that is down for hours. An entry at 53
// requests a second gathers 16 kB of bills a second, so the default holds more
// than four hours. Beyond it a bill is logged whole as lost; its
// agent still holds a copy and hands it back once the store answers. Refusing
// requests instead would turn an outage of the store into one of the service.
func Memory(bytes int) Option { return func(wr *Writer) { wr.queue.limit = bytes } }

// OnDurable sets what is called with the bills that stand in the store.
func OnDurable(fn func([]core.AttemptID)) Option { return func(wr *Writer) { wr.durable = fn } }

const (
	defaultPace   = 2 * time.Second
	defaultMemory = 256 << 20
	// segmentBytes bounds the bills of a segment, so that its value with the
	// envelope stays below the store's megabyte.
	segmentBytes = 900_000
	// writeLimit bounds one try to write, so that a store that swallows
	// replies does not keep the turn from a stop or a hand-back.
	writeLimit = 5 * time.Second
)

// New returns the ledger of the process in deps.
func New(deps core.Deps, st core.Store, opts ...Option) *Writer {
	wr := &Writer{
		deps: deps, chains: openChains(st, deps.Self), shortest: defaultPace,
		live: func() int { return 1 }, durable: func([]core.AttemptID) {},
		queue: queue{limit: defaultMemory}, turn: make(chan struct{}, 1), floor: Floor{Own: 1, Takeover: 1},
	}
	for _, opt := range opts {
		opt(wr)
	}
	return wr
}

// Floor returns where a bill that is added from now on can stand.
func (wr *Writer) Floor() Floor {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.floor
}

// Add files a bill for the next segment. It does not block. It comes before an
// agent is told of the bill: a successor could otherwise file the agent's copy in
// an entry that this writer has read already, and the bill would stand twice.
func (wr *Writer) Add(bi Bill) {
	raw, err := json.Marshal(bi)
	if err != nil || !wr.queue.add(waiting{bi.ID(), raw}) {
		wr.lose(raw)
	}
}

func (wr *Writer) lose(raw []byte) {
	meter.BillsLost.Inc(wr.deps.Metrics)
	event.Log(wr.deps.Log, event.BillLost, "bill", string(raw))
}

// Serve writes segments until the context ends, one in each interval. Close
// must follow.
//
// One is enough: it takes thousands of bills. After an outage all entries have
// segments waiting, and writing them at once would take the store from the
// claims that callers wait for; so the budget holds then as well.
func (wr *Writer) Serve(ctx context.Context) error {
	wait := phase(wr.deps.Self, wr.interval())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		wctx, cancel := context.WithTimeout(ctx, writeLimit)
		if _, err := wr.step(wctx); err != nil && ctx.Err() == nil {
			event.Log(wr.deps.Log, event.SegmentLate, "error", err)
		}
		cancel()
		meter.LedgerWaitingBytes.Set(wr.deps.Metrics, float64(wr.queue.size()))
		wait = wr.interval()
	}
}

func (wr *Writer) interval() time.Duration { return Interval(wr.budget, wr.live(), wr.shortest) }

// Close writes what waits, for at most limit, and logs each bill that could
// not be written. Bills that are added later are logged as lost.
func (wr *Writer) Close(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := wr.Flush(ctx)
	for _, wa := range wr.queue.close() {
		wr.lose(wa.raw)
	}
	return err
}

func (wr *Writer) take(ctx context.Context) error {
	select {
	case wr.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrLate
	}
}

func (wr *Writer) release() { <-wr.turn }

// Flush writes all bills that wait. Those that could not be written stay.
func (wr *Writer) Flush(ctx context.Context) error {
	for {
		if more, err := wr.step(ctx); err != nil || !more {
			return err
		}
	}
}

// step tries to write one segment and reports whether there was one.
func (wr *Writer) step(ctx context.Context) (bool, error) {
	if err := wr.take(ctx); err != nil {
		return false, err
	}
	defer wr.release()
	if wr.open == nil && !wr.begin() {
		return false, nil
	}
	return true, wr.write(ctx)
}

// begin opens the next segment and reports whether any bill waits.
func (wr *Writer) begin() bool {
	batch := wr.queue.head()
	if len(batch) == 0 {
		return false
	}
	wr.open = &segment{nonce: core.NewID(), batch: batch, raw: encodeSegment(batch)}
	return true
}

// write tries to settle the open segment. After an error it stays open and the
// same record is written again.
func (wr *Writer) write(ctx context.Context) error {
	if !wr.enlisted {
		if err := wr.chains.enlist(ctx); err != nil {
			return err
		}
		wr.enlisted = true
	}
	ch, n := wr.place()
	err := ch.CreateAs(ctx, n, wr.open.nonce, wr.open.raw)
	switch {
	case err == nil:
		wr.settle(n)
		return nil
	case errors.Is(err, chain.ErrSealed):
		wr.goOver(n)
		return nil
	case errors.Is(err, chain.ErrTaken):
		return wr.stepOver(ctx, ch, n)
	default:
		return late(err)
	}
}

func (wr *Writer) place() (*chain.Chain, uint64) {
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
	wr.open = nil
}

func (wr *Writer) settle(n uint64) {
	batch := wr.open.batch
	wr.queue.pop(len(batch))
	wr.advance(n)
	event.Log(wr.deps.Log, event.SegmentWritten, "bills", len(batch))
	ids := make([]core.AttemptID, len(batch))
	for i, wa := range batch {
		ids[i] = wa.id
	}
	wr.durable(ids)
}

// goOver leaves the own chain, which a successor has sealed at entry n because it
// took this process for gone. Writing on in it would file bills that the successor
// has filed from the agents' copies; one would notice doubled bills after each
// long pause of an entry. In the takeover chain every entry of a successor is read before
// the next one is written.
func (wr *Writer) goOver(n uint64) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.floor.Own, wr.sealed, wr.open = n, true, nil
	event.Log(wr.deps.Log, event.LedgerSealed, "process", wr.deps.Self, "entry", n)
}

// stepOver reads an entry that a successor wrote. What it holds is durable and
// must not be written again.
func (wr *Writer) stepOver(ctx context.Context, ch *chain.Chain, n uint64) error {
	en, err := ch.Read(ctx, n)
	if err != nil {
		return late(err)
	}
	ta := tail{found: idSet{}}
	if err := ta.note(en); err != nil {
		return err
	}
	wr.queue.drop(ta.found)
	wr.advance(n)
	wr.durable(ta.found.list())
	return nil
}

// Reclaim takes back what agents still hold of this process, because they were
// never told that it is durable or because there was no room when it was
// added. It returns what is durable; the rest waits for a segment.
//
// It holds the turn while it reads: between its last read and the add, the
// writer must not step over an entry with one of these bills.
func (wr *Writer) Reclaim(ctx context.Context, copies []Copy) ([]core.AttemptID, error) {
	if err := wr.take(ctx); err != nil {
		return nil, err
	}
	defer wr.release()
	waits := wr.queue.ids()
	copies = slices.DeleteFunc(slices.Clone(copies), func(co Copy) bool { return waits[co.Bill.ID()] })
	if len(copies) == 0 {
		return nil, nil
	}
	fl := lowest(copies)
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
			wr.readd(co.Bill)
		}
	}
	return durable, nil
}

// readd files a bill that had no room before. Without room now it is left to
// the agent, which offers it again; it was logged as lost when it came first.
func (wr *Writer) readd(bi Bill) {
	if raw, err := json.Marshal(bi); err == nil {
		wr.queue.add(waiting{bi.ID(), raw})
	}
}

// lowest returns the floor below all copies.
func lowest(copies []Copy) Floor {
	fl := copies[0].Floor
	for _, co := range copies[1:] {
		fl = fl.lower(co.Floor)
	}
	return fl
}
