package core

import (
	"context"
	"errors"
	"time"
)

// Revision numbers the states of one key in the platform's store. It increases with each write to
// the key. Revision 0 means that the key does not exist.
type Revision uint64

// MaxRevision is the highest revision that a peer may tell. A higher one would hide all that follow.
const MaxRevision Revision = 1 << 62

// LeaseID names a lease of the store. The keys that are attached to it are deleted when it expires.
// The empty id means no lease.
type LeaseID string

// Item is one key of the store with its value and revision.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Errors of a [Store]. An implementation returns only these, wrapped or not, and errors of the
// context.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict means that the key's revision is not the expected one, or that a key to be created
	// exists. The write did not take effect.
	ErrConflict = errors.New("store: conflict")
	// ErrUnavailable means that the store refused the call or could not be reached. The call
	// certainly did not take effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrCompacted means that the store no longer has the history from the requested revision on.
	ErrCompacted = errors.New("store: the history from the requested revision on was compacted")
	// ErrUncertain means that the reply was lost. The write may have taken effect or may still do
	// so; the only way to find out is to read the key.
	ErrUncertain = errors.New("store: outcome uncertain")
)

// Store is the platform's small key-value service. Each call counts against its rate limit, a
// waiting Watch as one call. Values have at most MaxValue bytes.
type Store interface {
	// Get returns a key. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all keys with a prefix, in order. Their number is not limited.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Create writes a key that must not exist and attaches it to the lease, if any.
	// Errors: ErrConflict, ErrUnavailable, ErrUncertain.
	Create(ctx context.Context, key string, value []byte, lease LeaseID) (Revision, error)
	// Swap replaces a key's value if its revision is still prev.
	// Errors: ErrConflict, ErrUnavailable, ErrUncertain.
	Swap(ctx context.Context, key string, prev Revision, value []byte) (Revision, error)
	// Delete removes a key if its revision is still prev.
	Delete(ctx context.Context, key string, prev Revision) error
	// Watch waits until the key's revision is greater than after and returns the key. It fails when
	// the context ends, or with ErrUnavailable.
	Watch(ctx context.Context, key string, after Revision) (Item, error)
	// Grant creates a lease. Renew extends it and fails with ErrNotFound once it has expired.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, lease LeaseID) error
}

// Change is a key that was written, or removed if Removed is set. A removed key has the revision of
// its removal.
type Change struct {
	Item
	Removed bool
	// Skipped is set when the replica may have missed changes before this one.
	Skipped bool
	// Certain is set for a removal that no outage of the store explains: its key is not written again
	// unless its writer starts again.
	Certain bool
	// Settled is set for a certain removal that was published before as one that is not.
	Settled bool
}

// ChangeFeed is the store as one sequence of changes, for replicas of it.
type ChangeFeed interface {
	// Snapshot returns all keys and the revision from which Changes continues. Keys may be newer
	// than that revision.
	Snapshot(ctx context.Context) ([]Item, Revision, error)
	// Changes returns the changes after a revision, and the revision up to which they are complete.
	// It waits for a change for at most the given time and then returns none.
	// Errors: ErrCompacted, ErrUnavailable.
	Changes(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// MaxValue is the maximum size of a value in the store, in bytes.
const MaxValue = 1 << 20
