package chain

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// Snapshot stands for the entries 1 to Through.
type Snapshot struct {
	Through uint64 `json:"through"`
	// Pruned is up to where the entries were to be pruned before this
	// snapshot was written.
	Pruned  uint64          `json:"pruned"`
	Payload json.RawMessage `json:"payload"`
}

// ErrAhead means that the entries to be folded are not all accepted.
var ErrAhead = errors.New("chain: entries to fold are not accepted yet")

func (ch *Chain) snapshotKey() string { return ch.name + "/snapshot" }

// Snapshot returns the newest snapshot, one through 0 when there is none.
// A reader goes on with entry Through+1. Error: ErrAway.
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
		return sn, 0, ErrAway
	}
	err = json.Unmarshal(it.Value, &sn)
	return sn, it.Revision, eris.Wrap(err, "chain snapshot is broken")
}

// Fold writes a snapshot with a payload in JSON that stands for the entries 1
// to through, after it has pruned what the snapshot before stood for. The
// entry after through must be accepted: the last entry is never pruned. When
// the chain is folded as far already, by whomever, Fold does nothing.
//
// All that Fold does may be done twice or broken off anywhere: pruning goes
// upwards and is begun again by the next Fold, a snapshot only moves forward.
// Errors: ErrAhead, ErrAway, ErrUnsettled; after the last two, Fold again.
func (ch *Chain) Fold(ctx context.Context, through uint64, payload []byte) error {
	sn, rev, err := ch.snapshot(ctx)
	if err != nil || sn.Through >= through {
		return err
	}
	switch _, err := ch.read(ctx, through+1); {
	case errors.Is(err, ErrAbsent):
		return ErrAhead
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
	return ch.folded(ctx, through, err)
}

// folded settles a write of the snapshot whose reply was lost or that met
// another's.
func (ch *Chain) folded(ctx context.Context, through uint64, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, core.ErrUnavailable):
		return ErrAway
	}
	sn, _, err := ch.snapshot(ctx)
	if err == nil && sn.Through >= through {
		return nil
	}
	return ErrUnsettled
}

// prune drops the payload of an entry and keeps its nonce.
func (ch *Chain) prune(ctx context.Context, n uint64) error {
	it, err := ch.store.Get(ctx, ch.key(n))
	if err != nil {
		return ErrAway
	}
	en, err := decode(n, it, nil)
	if err != nil || en.Pruned {
		return err
	}
	raw, err := json.Marshal(record{Nonce: en.Nonce, Seal: en.Seal, Pruned: true})
	if err != nil {
		return eris.Wrap(err, "encode chain entry")
	}
	// Only prunings write an accepted entry, all the same: a conflict means
	// that another was first.
	switch _, err := ch.store.Swap(ctx, ch.key(n), it.Revision, raw); {
	case err == nil, errors.Is(err, core.ErrConflict):
		return nil
	case errors.Is(err, core.ErrUnavailable):
		return ErrAway
	default:
		return ErrUnsettled
	}
}
