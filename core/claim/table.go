// Package claim makes an operation run at most once over the whole fleet.
//
// Before an agent calls an upstream for a subsidy claim, a survey booking, a
// stock hold or a shipment confirmation, it claims the caller's idempotency
// key in the platform's store. Only the owner of the claim calls. Nobody ever
// takes a claim over: a claim whose owner is gone has an unknown outcome, for
// good, because its owner may have called the upstream before it went.
//
// # Usage
//
//	tbl := claim.New(store, self)
//	out, err := tbl.Claim(ctx, claim.Request{Key: key, Digest: digest, Attempt: id})
//	switch out.State { case claim.Owned: … case claim.Done: … }
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

// Key is what may run once.
type Key struct {
	Workspace core.WorkspaceID
	Service   core.ServiceID
	Operation core.OperationID
	// Idempotency is the caller's key.
	Idempotency string
}

// State is how far a claimed operation has come.
type State string

// The states. Owned is only ever told to the owner.
const (
	Owned    State = "owned"
	Claimed  State = "claimed"
	Done     State = "done"
	Released State = "released"
)

// Request asks for a claim.
type Request struct {
	Key Key
	// Digest is of the body; the same key with another body is refused.
	Digest  string
	Attempt core.AttemptID
}

// Answer is a stored answer of a done operation.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
}

// Outcome is what a claim met.
type Outcome struct {
	State State
	// Attempt and Owner name the holder when State is Claimed.
	Attempt core.AttemptID
	Owner   core.ProcessID
	// Answer is set when State is Done.
	Answer Answer
}

// Errors of a table. After all but ErrUnsettled nothing was claimed.
var (
	// ErrReused: the key was used with another body.
	ErrReused = errors.New("claim: key reused with another body")
	// ErrExpired: the key is older than the retention, so that it is unknown
	// whether it ran.
	ErrExpired = errors.New("claim: key is older than the retention")
	// ErrAway: the store cannot be reached; nothing is claimed.
	ErrAway = errors.New("claim: store away")
	// ErrUnsettled: it is unknown whether the claim was written. The caller
	// must not dispatch.
	ErrUnsettled = errors.New("claim: unsettled")
)

// Table is the claims as one agent sees them. It is safe for concurrent use.
type Table struct {
	store core.Store
	self  core.ProcessID
}

// New returns a table over a store for a process.
func New(st core.Store, self core.ProcessID) *Table { return &Table{store: st, self: self} }

type record struct {
	Key     Key            `json:"key"`
	Digest  string         `json:"digest"`
	State   State          `json:"state"`
	Attempt core.AttemptID `json:"attempt"`
	Owner   core.ProcessID `json:"owner"`
	At      time.Time      `json:"at"`
	Answer  *Answer        `json:"answer,omitempty"`
}

func (ke Key) path() string {
	return fmt.Sprintf("claims/%016x", xxhash.Sum64String(fmt.Sprintf("%q/%q/%q/%q", ke.Workspace, ke.Service, ke.Operation, ke.Idempotency)))
}

// Claim asks for the right to run. Only after an Outcome in state Owned may
// the caller hand the operation to the upstream.
func (tbl *Table) Claim(ctx context.Context, req Request) (Outcome, error) {
	rec := record{Key: req.Key, Digest: req.Digest, State: Claimed, Attempt: req.Attempt, Owner: tbl.self, At: time.Now()}
	raw, err := json.Marshal(rec)
	if err != nil {
		return Outcome{}, err
	}
	_, err = tbl.store.Create(ctx, req.Key.path(), raw, "")
	switch {
	case err == nil:
		return Outcome{State: Owned, Attempt: req.Attempt, Owner: tbl.self}, nil
	case errors.Is(err, core.ErrUnavailable):
		return Outcome{}, ErrAway
	}
	return tbl.readBack(ctx, req)
}

// readBack settles a conflict or a lost reply by what stands in the store.
func (tbl *Table) readBack(ctx context.Context, req Request) (Outcome, error) {
	it, err := tbl.store.Get(ctx, req.Key.path())
	if err != nil {
		return Outcome{}, ErrUnsettled
	}
	var rec record
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return Outcome{}, ErrUnsettled
	}
	switch {
	case rec.Attempt == req.Attempt && rec.Owner == tbl.self:
		return Outcome{State: Owned, Attempt: req.Attempt, Owner: tbl.self}, nil
	case rec.Digest != req.Digest || rec.Key != req.Key:
		return Outcome{}, ErrReused
	case rec.State == Done:
		return Outcome{State: Done, Attempt: rec.Attempt, Answer: *rec.Answer}, nil
	default:
		return Outcome{State: Claimed, Attempt: rec.Attempt, Owner: rec.Owner}, nil
	}
}

// Finish stores the answer of an owned claim.
func (tbl *Table) Finish(ctx context.Context, req Request, an Answer) error {
	it, err := tbl.store.Get(ctx, req.Key.path())
	if err != nil {
		return ErrAway
	}
	rec := record{Key: req.Key, Digest: req.Digest, State: Done, Attempt: req.Attempt, Owner: tbl.self, At: time.Now(), Answer: &an}
	raw, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	if _, err := tbl.store.Swap(ctx, req.Key.path(), it.Revision, raw); err != nil {
		return ErrUnsettled
	}
	return nil
}

// Release gives an owned claim up that was certainly never handed to the
// upstream, so that the key can run later.
func (tbl *Table) Release(ctx context.Context, req Request) error {
	it, err := tbl.store.Get(ctx, req.Key.path())
	if err != nil {
		return ErrAway
	}
	if err := tbl.store.Delete(ctx, req.Key.path(), it.Revision); err != nil {
		return ErrUnsettled
	}
	return nil
}
