package chain

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// Snapshot replaces the entries 1 to Through.
type Snapshot struct {
	Through uint64 `json:"through"`
	// Pruned is the last entry that was pruned when this snapshot was written. The next Compact starts
	// after it.
	Pruned  uint64          `json:"pruned"`
	Payload json.RawMessage `json:"payload"`
}

// ErrNotAccepted means that the entry after the snapshot's last entry is not accepted yet: the
// snapshot would replace the chain's last entry or entries that do not exist.
var ErrNotAccepted = errors.New("chain: entries of the snapshot are not all accepted yet")

func (ch *Chain) snapshotKey() string { return ch.name + "/snapshot" }

// Snapshot returns the newest snapshot, or one with Through 0 when there is none. A reader
// continues with entry Through+1. Error: ErrStoreUnavailable.
func (ch *Chain) Snapshot(ctx context.Context) (Snapshot, error) {
	sn, _, err := ch.snapshot(ctx)
	return sn, err
}

func (ch *Chain) snapshot(ctx context.Context) (Snapshot, core.Revision, error) {
	var sn Snapshot
	it, err := ch.store.Get(ctx, ch.snapshotKey())
	switch {
	case errors.Is(err, core.ErrNotFound):
		return sn, 0, nil
	case err != nil:
		return sn, 0, ErrStoreUnavailable
	}
	err = json.Unmarshal(it.Value, &sn)
	return sn, it.Revision, eris.Wrap(err, "decode chain snapshot")
}

// Compact compacts the chain: it prunes the entries that the previous snapshot replaces, then
// writes a snapshot with a JSON payload that replaces the entries 1 to through. The entry after
// through must be accepted, so that the last entry is never pruned. If a snapshot already replaces
// the entries up to through, whichever process wrote it, Compact does nothing.
//
// Compact may run twice or be interrupted at any point: pruning proceeds upwards and is restarted
// by the next Compact, and a snapshot only moves forward. Errors: ErrNotAccepted,
// ErrStoreUnavailable, ErrOutcomeUnknown; after the last two, call Compact again.
func (ch *Chain) Compact(ctx context.Context, through uint64, payload []byte) error {
	sn, rev, err := ch.snapshot(ctx)
	if err != nil || sn.Through >= through {
		return err
	}
	switch _, err := ch.readEntry(ctx, through+1); {
	case errors.Is(err, ErrAbsent):
		return ErrNotAccepted
	case err != nil:
		return err
	}
	for n := sn.Pruned + 1; n <= sn.Through; n++ {
		if err := ch.prune(ctx, n); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(Snapshot{Through: through, Pruned: sn.Through, Payload: payload})
	if err != nil {
		return eris.Wrap(err, "encode chain snapshot")
	}
	if rev == 0 {
		_, err = ch.store.Create(ctx, ch.snapshotKey(), raw, "")
	} else {
		_, err = ch.store.Swap(ctx, ch.snapshotKey(), rev, raw)
	}
	return ch.confirmSnapshot(ctx, through, err)
}

// confirmSnapshot settles a write of the snapshot whose reply was lost or that conflicted with
// another process's write.
func (ch *Chain) confirmSnapshot(ctx context.Context, through uint64, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, core.ErrUnavailable):
		return ErrStoreUnavailable
	}
	sn, _, err := ch.snapshot(ctx)
	if err == nil && sn.Through >= through {
		return nil
	}
	return ErrOutcomeUnknown
}

// prune deletes the payload of an entry and keeps its nonce.
func (ch *Chain) prune(ctx context.Context, n uint64) error {
	it, err := ch.store.Get(ctx, ch.key(n))
	if err != nil {
		return ErrStoreUnavailable
	}
	en, err := decode(n, it, nil)
	if err != nil || en.Pruned {
		return err
	}
	raw, err := json.Marshal(record{Nonce: en.Nonce, Seal: en.Seal, Pruned: true})
	if err != nil {
		return eris.Wrap(err, "encode chain entry")
	}
	// An accepted entry is written only to prune it, always with the same value: a conflict means
	// that another process pruned it first.
	switch _, err := ch.store.Swap(ctx, ch.key(n), it.Revision, raw); {
	case err == nil, errors.Is(err, core.ErrConflict):
		return nil
	case errors.Is(err, core.ErrUnavailable):
		return ErrStoreUnavailable
	default:
		return ErrOutcomeUnknown
	}
}
