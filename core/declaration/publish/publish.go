// Package publish writes a reviewed document to the store as the next generation of
// the configuration. Several operators may do so concurrently.
//
// The configuration is one chain of complete generations. A [Publisher] rebases the
// document onto the newest generation, checks the change, and creates the next
// entry. If another operator created that entry first, the publisher starts again
// from it, so that concurrent changes of different scopes are both accepted; a
// conflicting change of the same scope fails with [declaration.Clashes].
//
// # Usage
//
//	pub := publish.New(store)
//	res, err := pub.Apply(ctx, publish.Proposal{Document: doc, Base: 7, Who: "mei", Why: "desk v2 to 10%"})
//	var un *publish.Uncertain   // errors.As: it is unknown whether the change was accepted
package publish

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/declaration"
)

// Chain is the name of the configuration's chain of entries in the store.
const Chain = "configuration"

// Errors of a publisher, in addition to [declaration.Mistakes] and
// [declaration.Clashes].
var (
	// ErrUnreachable reports that the store cannot be reached.
	ErrUnreachable = errors.New("publish: the store cannot be reached; nothing was changed")
	// ErrInterrupted reports that the context ended before anything was written.
	ErrInterrupted = errors.New("publish: interrupted before the change was written; nothing was changed")
	// ErrNoGeneration reports that a generation does not exist.
	ErrNoGeneration = errors.New("publish: no such generation")
	// ErrContended reports that other operators' changes were accepted first on every
	// attempt.
	ErrContended = errors.New("publish: other operators' changes were accepted first on every attempt; nothing was changed")
	// ErrUnchanged reports that the document equals the current configuration.
	ErrUnchanged = errors.New("publish: the document equals the current configuration; nothing was changed")
)

// Uncertain is the error of a write whose outcome is unknown. The change may be
// accepted already, or may still be accepted later.
type Uncertain struct {
	// Generation is the number that the change would have.
	Generation core.Generation
}

// Error implements error.
func (un *Uncertain) Error() string {
	return fmt.Sprintf("it is not known whether generation %d was accepted", un.Generation)
}

const (
	// maxAttempts is the maximum number of attempts of a change that loses races. Each
	// lost race is another operator's accepted change. A dozen operators do not
	// apply within the same milliseconds; a runaway script does.
	maxAttempts = 16
	// readBackTimeout bounds the read-back after an interrupted write, and so how long
	// an operator waits for the outcome after pressing Ctrl-C.
	readBackTimeout = 3 * time.Second
)

// Publisher reads and extends the configuration's chain. It is safe for concurrent
// use.
type Publisher struct {
	chain *chain.Chain
	now   func() time.Time
}

// Option configures a publisher.
type Option func(*Publisher)

// WithClock sets the clock for audit records; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(pub *Publisher) { pub.now = now } }

// New returns a publisher for the configuration in a store.
func New(st core.Store, opts ...Option) *Publisher {
	pub := &Publisher{chain: chain.New(st, Chain), now: time.Now}
	for _, opt := range opts {
		opt(pub)
	}
	return pub
}

// Proposal is a document that an operator wants to apply.
type Proposal struct {
	Document declaration.Document
	// Base is the generation that the document was reviewed against.
	Base core.Generation
	// Who and Why are the author and the reason in the audit record.
	Who string
	Why string
}

// Result is an accepted or prepared change.
type Result struct {
	// Before is the newest generation so far, and After the one that follows it.
	Before, After *declaration.Generation
	// Rebased counts the generations accepted since the base, onto which the
	// document was rebased.
	Rebased int
}

// Newest returns the newest generation, or an empty generation 0 if there is none.
// Errors: ErrUnreachable.
func (pub *Publisher) Newest(ctx context.Context) (*declaration.Generation, error) {
	last, err := pub.chain.Last(ctx)
	if err != nil {
		return nil, mapError(err)
	}
	return decode(last)
}

// Read returns a generation; generation 0 is empty. Errors: ErrNoGeneration,
// ErrUnreachable.
func (pub *Publisher) Read(ctx context.Context, number core.Generation) (*declaration.Generation, error) {
	if number == 0 {
		return &declaration.Generation{}, nil
	}
	en, err := pub.chain.Read(ctx, uint64(number))
	if err != nil {
		return nil, mapError(err)
	}
	return decode(en)
}

func decode(en chain.Entry) (*declaration.Generation, error) {
	if en.Number == 0 {
		return &declaration.Generation{}, nil
	}
	return declaration.Decode(en.Payload)
}

// mapError translates the errors of package chain.
func mapError(err error) error {
	switch {
	case errors.Is(err, chain.ErrStoreUnavailable):
		return ErrUnreachable
	case errors.Is(err, chain.ErrAbsent):
		return ErrNoGeneration
	}
	return err
}

// Prepare returns the generation that Apply would write now, without writing it.
// Errors: [declaration.Mistakes], [declaration.Clashes], ErrUnreachable, ErrNoGeneration,
// ErrUnchanged.
func (pub *Publisher) Prepare(ctx context.Context, pr Proposal) (Result, error) {
	base, err := pub.Read(ctx, pr.Base)
	if errors.Is(err, ErrNoGeneration) {
		return Result{}, eris.Wrapf(err, "the base generation %d does not exist", pr.Base)
	}
	if err != nil {
		return Result{}, err
	}
	newest, err := pub.Newest(ctx)
	if err != nil {
		return Result{}, err
	}
	var since []*declaration.Generation
	for number := pr.Base + 1; number <= newest.Number; number++ {
		gen, err := pub.Read(ctx, number)
		if err != nil {
			return Result{}, err
		}
		since = append(since, gen)
	}
	return pub.prepare(base, newest, since, pr)
}

func (pub *Publisher) prepare(base, newest *declaration.Generation, since []*declaration.Generation, pr Proposal) (Result, error) {
	res := Result{Before: newest, Rebased: len(since)}
	doc, err := declaration.Rebase(base, since, &pr.Document)
	if err != nil {
		return res, err
	}
	old := &newest.Document
	// This precedes the check: if an operator retries an apply whose reply was lost,
	// the check would report that the risks it accepts do not exist.
	if len(declaration.ChangedScopes(old, &doc)) == 0 {
		return res, ErrUnchanged
	}
	if err := declaration.CheckChange(old, &doc); err != nil {
		return res, err
	}
	res.After = &declaration.Generation{
		Number: newest.Number + 1, Document: doc,
		Audit: declaration.Audit{
			Who: pr.Who, When: pub.now().UTC(), Why: pr.Why, Base: newest.Number,
			Changed: declaration.Diff(old, &doc), Effects: declaration.Effects(old, &doc), Accepted: declaration.AcceptedRisks(old, &doc),
		},
	}
	return res, nil
}

// Apply writes a proposal as the next generation and returns what was accepted.
// Errors: [declaration.Mistakes], [declaration.Clashes], ErrUnreachable, ErrNoGeneration,
// ErrInterrupted, ErrContended, ErrUnchanged, *[Uncertain]. Except with Uncertain, nothing was
// changed.
func (pub *Publisher) Apply(ctx context.Context, pr Proposal) (Result, error) {
	for range maxAttempts {
		res, err := pub.Prepare(ctx, pr)
		if ctx.Err() != nil {
			return res, ErrInterrupted
		}
		if err != nil {
			return res, err
		}
		raw, err := res.After.Encode()
		if err != nil {
			return res, err
		}
		nonce := core.NewID()
		err = pub.chain.CreateAs(ctx, uint64(res.After.Number), nonce, raw)
		if errors.Is(err, chain.ErrOutcomeUnknown) {
			err = pub.readBack(ctx, res.After.Number, nonce)
		}
		if !errors.Is(err, chain.ErrTaken) {
			return res, mapError(err)
		}
	}
	return Result{}, ErrContended
}

// readBack reads back the entry of a write whose reply is missing, since the command
// was interrupted or timed out.
//
// A plain failure would lead the operator to apply again, or to assume that a
// withdrawal is not in force when it is. An entry with the write's nonce is accepted
// permanently; an entry of another writer means that the write was rejected
// permanently. An absent entry may still be created by the pending write, so only
// that outcome stays uncertain. So does a failed read.
func (pub *Publisher) readBack(ctx context.Context, number core.Generation, nonce string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	en, err := pub.chain.Read(ctx, uint64(number))
	switch {
	case err != nil:
		return &Uncertain{number}
	case en.Nonce == nonce:
		return nil
	case en.Seal:
		return chain.ErrSealed
	}
	return chain.ErrTaken
}
