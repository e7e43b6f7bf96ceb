package core

import (
	"context"
	"errors"
	"time"
)

// Revision numbers the states of one key in the platform's store. It grows
// with each write to the key. Revision 0 means that the key does not exist.
type Revision uint64

// LeaseID names a lease of the store; the keys attached to it go when it
// lapses. The empty id means no lease.
type LeaseID string

// Item is one key of the store with its value and revision.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Errors of a [Store]. An adapter returns these, wrapped or bare, and no
// others but the context's.
var (
	// ErrNotFound: the key does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict: the key's revision is not the one that was named, or a key
	// to be created exists. The write did not take effect.
	ErrConflict = errors.New("store: conflict")
	// ErrUnavailable: the store refused or could not be reached; the call
	// certainly did not take effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrCompacted: the history that a watch asked for is gone.
	ErrCompacted = errors.New("store: history gone")
	// ErrUncertain: the reply was lost. The write may have taken effect, now
	// or later; only reading the key back tells.
	ErrUncertain = errors.New("store: outcome uncertain")
)

// Store is the platform's small key-value service. Each call counts against
// its rate, a waiting Watch as one. Values are at most MaxValue bytes.
type Store interface {
	// Get returns a key. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the keys with a prefix in order, without a bound.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Create writes a key that must not exist, attached to a lease if one is
	// named. Errors: ErrConflict, ErrUnavailable, ErrUncertain.
	Create(ctx context.Context, key string, value []byte, lease LeaseID) (Revision, error)
	// Swap replaces a key's value if its revision is still prev.
	// Errors: ErrConflict, ErrUnavailable, ErrUncertain.
	Swap(ctx context.Context, key string, prev Revision, value []byte) (Revision, error)
	// Delete removes a key if its revision is still prev.
	Delete(ctx context.Context, key string, prev Revision) error
	// Watch waits until the key's revision is greater than after and returns
	// it. It gives up with the context, or with ErrUnavailable.
	Watch(ctx context.Context, key string, after Revision) (Item, error)
	// Grant makes a lease; Renew prolongs it and fails with ErrNotFound once
	// it has lapsed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, lease LeaseID) error
}

// Change is a key that was written, or removed when Gone. A removed key has the
// revision of its removal.
type Change struct {
	Item
	Gone bool
	// Skipped says that who keeps the copy may have missed changes that came
	// before this one.
	Skipped bool
}

// Feed is the store as one row of changes, for who keeps a copy of it.
type Feed interface {
	// Snapshot returns all keys and a revision from which Changes goes on. A
	// key may be newer than that.
	Snapshot(ctx context.Context) ([]Item, Revision, error)
	// Changes returns what was changed after a revision, and the revision that
	// it reaches. It waits for a change, for so long at most, and then returns
	// none. Errors: ErrCompacted, ErrUnavailable.
	Changes(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// MaxValue is the largest value that the store holds, in bytes.
const MaxValue = 1 << 20
