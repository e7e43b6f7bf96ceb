// Package chain stores append-only logs of immutable entries in the platform's store.
//
// A chain is the keys <name>/<n>, n = 1, 2, 3 …, each written once by create-if-absent with a nonce
// of its writer. Entry n+1 is accepted when its key was created and never changes afterwards. The
// store's reply to a write may be lost after the write took effect: the writer then reads the key
// back and compares the nonce.
//
// The key <name>/head is only a hint where to start the search for the last entry; a wrong or
// missing hint costs reads, never correctness. It is updated once every few entries, since the
// store limits the rate of calls.
//
// # Snapshots
//
// Compact compacts a chain: it writes a snapshot under <name>/snapshot that replaces the entries up
// to a number. These entries are pruned only by the next Compact, so that a reader that has just
// read the older snapshot still finds the entries that follow it. A pruned entry's key remains,
// with its nonce and without its payload. If the key were deleted, a writer that was paused before
// its create would find the key absent, write an entry that nobody reads, and conclude that it was
// accepted.
//
// # Usage
//
//	ch := chain.New(store, "configuration")
//	last, err := ch.Last(ctx)
//	err = ch.Create(ctx, last.Number+1, payload)   // chain.ErrTaken: another was first
package chain

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// Errors of a chain.
var (
	// ErrTaken: another writer created the entry.
	ErrTaken = errors.New("chain: entry was written by another writer")
	// ErrSealed: the entry is a seal; the chain accepts no more entries.
	ErrSealed = errors.New("chain: sealed, no more entries are accepted")
	// ErrAbsent: the entry does not exist.
	ErrAbsent = errors.New("chain: no such entry")
	// ErrPruned: the entry's payload was deleted; the snapshot replaces it.
	ErrPruned = errors.New("chain: entry is pruned, read the snapshot")
	// ErrStoreUnavailable: the store is unreachable. This call wrote nothing.
	ErrStoreUnavailable = errors.New("chain: store is unreachable, nothing was written")
	// ErrOutcomeUnknown: the context ended while it was unknown whether the write took effect.
	ErrOutcomeUnknown = errors.New("chain: unknown whether the write took effect")
)

// Entry is one accepted entry of a chain. Number 0 is the position before the first entry.
type Entry struct {
	Number  uint64
	Nonce   string
	Seal    bool
	Pruned  bool
	Payload []byte
}

// record is the stored form of an entry.
type record struct {
	Nonce   string          `json:"nonce"`
	Seal    bool            `json:"seal,omitempty"`
	Pruned  bool            `json:"pruned,omitempty"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Chain is one chain in a store. It is safe for concurrent use.
type Chain struct {
	store core.Store
	name  string
}

// New returns the chain with the given name.
func New(st core.Store, name string) *Chain { return &Chain{store: st, name: name} }

func (ch *Chain) key(n uint64) string { return ch.name + "/" + strconv.FormatUint(n, 10) }
func (ch *Chain) headKey() string     { return ch.name + "/head" }

// Create writes entry n with a JSON payload. It returns nil once the entry is known to be this
// call's. Errors: ErrTaken, ErrSealed, ErrStoreUnavailable, ErrOutcomeUnknown.
func (ch *Chain) Create(ctx context.Context, n uint64, payload []byte) error {
	return ch.CreateAs(ctx, n, core.NewID(), payload)
}

// CreateAs is Create with a nonce that the caller chooses. A writer whose call ended with
// ErrOutcomeUnknown calls it again with the same nonce, number and payload; with a new nonce it
// would treat its own earlier write as another writer's.
func (ch *Chain) CreateAs(ctx context.Context, n uint64, nonce string, payload []byte) error {
	return ch.createWithRetry(ctx, n, record{Nonce: nonce, Payload: payload})
}

// Seal ends a chain after entry n-1 by creating entry n as a seal. A writer that resumes after a
// pause then fails its next Create with ErrSealed.
func (ch *Chain) Seal(ctx context.Context, n uint64) error {
	return ch.createWithRetry(ctx, n, record{Nonce: core.NewID(), Seal: true})
}

// createWithRetry retries one write until its outcome is known.
//
// After a lost reply there are three cases: the write took effect, it did not, or it still may
// because it is in flight. Reading the key back identifies the first. The other two cannot be
// distinguished, so the same record is written again: if the first write takes effect late, the
// entry is still this call's.
func (ch *Chain) createWithRetry(ctx context.Context, n uint64, rec record) error {
	raw, err := json.Marshal(rec)
	if err != nil {
		return eris.Wrap(err, "encode chain entry")
	}
	uncertain := false
	try := func() (struct{}, error) {
		_, err := ch.store.Create(ctx, ch.key(n), raw, "")
		switch {
		case err == nil:
			return struct{}{}, nil
		case errors.Is(err, core.ErrConflict):
			return struct{}{}, ch.confirmOwn(ctx, n, rec.Nonce)
		case errors.Is(err, core.ErrUnavailable) && !uncertain:
			// Only while no earlier reply was lost does this mean that nothing was written.
			return struct{}{}, backoff.Permanent(ErrStoreUnavailable)
		default:
			uncertain = true
			return struct{}{}, err
		}
	}
	_, err = backoff.Retry(ctx, try, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil:
		// The seal updates the head too: it is the last entry, so a reader can distinguish a chain
		// that lost an entry before the seal from one that never had it.
		if n%HeadInterval == 0 || rec.Seal {
			ch.updateHead(ctx, n)
		}
		return nil
	case errors.Is(err, ErrTaken), errors.Is(err, ErrSealed), errors.Is(err, ErrStoreUnavailable):
		return unwrapPermanent(err)
	default:
		return ErrOutcomeUnknown
	}
}

// confirmOwn reads an entry back and compares its nonce. An error that is not permanent makes the
// caller retry.
func (ch *Chain) confirmOwn(ctx context.Context, n uint64, nonce string) error {
	en, err := ch.readEntry(ctx, n)
	switch {
	case err != nil:
		return err
	case en.Nonce == nonce:
		return nil
	case en.Seal:
		return backoff.Permanent(ErrSealed)
	default:
		return backoff.Permanent(ErrTaken)
	}
}

func unwrapPermanent(err error) error {
	var per *backoff.PermanentError
	if errors.As(err, &per) {
		return per.Unwrap()
	}
	return err
}

func newBackOff() backoff.BackOff {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = 20 * time.Millisecond
	bo.MaxInterval = time.Second
	return bo
}

// Read returns entry n. Errors: ErrAbsent, ErrPruned, ErrStoreUnavailable.
func (ch *Chain) Read(ctx context.Context, n uint64) (Entry, error) {
	en, err := ch.readEntry(ctx, n)
	if err == nil && en.Pruned {
		return en, ErrPruned
	}
	return en, err
}

// readEntry is Read, but returns a pruned entry without an error.
func (ch *Chain) readEntry(ctx context.Context, n uint64) (Entry, error) {
	it, err := ch.store.Get(ctx, ch.key(n))
	return decode(n, it, err)
}

// Watch waits for entry n. Errors: ErrStoreUnavailable, the context's.
func (ch *Chain) Watch(ctx context.Context, n uint64) (Entry, error) {
	it, err := ch.store.Watch(ctx, ch.key(n), 0)
	return decode(n, it, err)
}

func decode(n uint64, it core.Item, err error) (Entry, error) {
	switch {
	case errors.Is(err, core.ErrNotFound):
		return Entry{}, ErrAbsent
	case err != nil:
		return Entry{}, ErrStoreUnavailable
	}
	var rec record
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return Entry{}, eris.Wrapf(err, "decode chain entry %d", n)
	}
	return Entry{Number: n, Nonce: rec.Nonce, Seal: rec.Seal, Pruned: rec.Pruned, Payload: rec.Payload}, nil
}

// Last returns the last entry, or an Entry with number 0 for an empty chain. It starts at the hint
// and reads on until an entry is absent.
func (ch *Chain) Last(ctx context.Context) (Entry, error) {
	var last Entry
	n, err := ch.readHeadHint(ctx)
	if err != nil {
		return last, err
	}
	for ; ; n++ {
		en, err := ch.readEntry(ctx, n)
		switch {
		case errors.Is(err, ErrAbsent) && last.Number == 0 && n > 1:
			n = 0 // The hint was wrong: restart at the first entry.
		case errors.Is(err, ErrAbsent):
			return last, nil
		case err != nil:
			return last, err
		default:
			last = en
		}
	}
}

// readHeadHint returns the number of an entry near the end of the chain, from which to look for the
// last one. 1 means that the store has no usable hint.
func (ch *Chain) readHeadHint(ctx context.Context) (uint64, error) {
	it, err := ch.store.Get(ctx, ch.headKey())
	switch {
	case errors.Is(err, core.ErrNotFound):
		return 1, nil
	case err != nil:
		return 0, ErrStoreUnavailable
	}
	n, err := strconv.ParseUint(string(it.Value), 10, 64)
	if err != nil || n == 0 {
		return 1, nil
	}
	return n, nil
}

// HeadInterval is the number of entries between two updates of the head. An update takes two calls
// to the store and saves each reader that looks for the last entry at most HeadInterval reads.
const HeadInterval = 8

// updateHead moves the head forward, at best effort.
func (ch *Chain) updateHead(ctx context.Context, n uint64) {
	val := []byte(strconv.FormatUint(n, 10))
	it, err := ch.store.Get(ctx, ch.headKey())
	if errors.Is(err, core.ErrNotFound) {
		_, _ = ch.store.Create(ctx, ch.headKey(), val, "")
		return
	}
	if err == nil {
		_, _ = ch.store.Swap(ctx, ch.headKey(), it.Revision, val)
	}
}
