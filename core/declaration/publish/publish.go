// Package publish puts a reviewed document in force as the next generation of
// the configuration, while other operators may do the same.
//
// The configuration is one chain of whole generations. A [Publisher] carries
// the document over to the newest generation, checks the step, and creates the
// next entry. When another operator was first, it begins again from theirs, so
// changes to different workspaces both land; a change of the same scope ends
// with [declaration.Clashes].
//
// # Usage
//
//	pub := publish.New(store)
//	res, err := pub.Apply(ctx, publish.Proposal{Document: doc, Base: 7, Who: "mei", Why: "desk v2 to 10%"})
//	var lost *publish.Uncertain   // errors.As: accepted or not is unknown
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

// Chain is the name of the configuration's chain in the store.
const Chain = "configuration"

// Errors of a publisher, besides [declaration.Mistakes] and
// [declaration.Clashes].
var (
	// ErrAway: the store cannot be reached; nothing was changed.
	ErrAway = errors.New("publish: the store cannot be reached; nothing was changed")
	// ErrInterrupted: the context ended before anything was written.
	ErrInterrupted = errors.New("publish: interrupted before the change was written; nothing was changed")
	// ErrNoGeneration: there is no such generation.
	ErrNoGeneration = errors.New("publish: no such generation")
	// ErrBusy: others were first too often; nothing was changed.
	ErrBusy = errors.New("publish: other operators were first each time; nothing was changed")
	// ErrSame: the document changes nothing.
	ErrSame = errors.New("publish: the document is in force already; nothing was changed")
)

// Uncertain is the error of a write whose outcome is not known: it may be in
// force, now or a little later.
type Uncertain struct {
	Generation core.Generation
}

// Error implements error.
func (un *Uncertain) Error() string {
	return fmt.Sprintf("it is not known whether generation %d was accepted", un.Generation)
}

const (
	// attempts bounds how often a change that lost a race begins again. Each
	// lost race is another operator's accepted change; a dozen people do not
	// press the key within the same milliseconds, a script gone wild does.
	attempts = 16
	// settleLimit bounds the read-back after an interrupted write. An operator
	// who pressed Ctrl-C waits this long for a truthful answer at most.
	settleLimit = 3 * time.Second
)

// Publisher writes the configuration's chain.
type Publisher struct {
	chain *chain.Chain
	now   func() time.Time
}

// Option alters a publisher.
type Option func(*Publisher)

// WithClock sets the clock of the audit trail.
func WithClock(now func() time.Time) Option { return func(pub *Publisher) { pub.now = now } }

// New returns a publisher on a store.
func New(st core.Store, opts ...Option) *Publisher {
	pub := &Publisher{chain: chain.New(st, Chain), now: time.Now}
	for _, opt := range opts {
		opt(pub)
	}
	return pub
}

// Proposal is a document that an operator wants in force.
type Proposal struct {
	Document declaration.Document
	// Base is the generation that it was reviewed against.
	Base core.Generation
	Who  string
	Why  string
}

// Result tells what was accepted, against what.
type Result struct {
	Before, After *declaration.Generation
	// Rebased counts the generations of others that it was carried over.
	Rebased int
}

// Newest returns the newest generation; generation 0 is an empty one.
func (pub *Publisher) Newest(ctx context.Context) (*declaration.Generation, error) {
	last, err := pub.chain.Last(ctx)
	if err != nil {
		return nil, away(err)
	}
	return decode(last)
}

// Read returns a generation. Errors: ErrNoGeneration, ErrAway.
func (pub *Publisher) Read(ctx context.Context, number core.Generation) (*declaration.Generation, error) {
	if number == 0 {
		return &declaration.Generation{}, nil
	}
	en, err := pub.chain.Read(ctx, uint64(number))
	if err != nil {
		return nil, away(err)
	}
	return decode(en)
}

func decode(en chain.Entry) (*declaration.Generation, error) {
	if en.Number == 0 {
		return &declaration.Generation{}, nil
	}
	return declaration.Decode(en.Payload)
}

func away(err error) error {
	switch {
	case errors.Is(err, chain.ErrAway):
		return ErrAway
	case errors.Is(err, chain.ErrAbsent):
		return ErrNoGeneration
	}
	return err
}

// Prepare works out what a proposal would put in force now, without writing.
func (pub *Publisher) Prepare(ctx context.Context, pr Proposal) (Result, error) {
	base, err := pub.Read(ctx, pr.Base)
	if errors.Is(err, ErrNoGeneration) {
		return Result{}, eris.Wrapf(err, "there is no generation %d to have reviewed", pr.Base)
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
	// Before the check: an operator who repeats an apply whose reply was lost
	// would otherwise be told that the risks it accepts are not there.
	if len(declaration.Touched(old, &doc)) == 0 {
		return res, ErrSame
	}
	if err := declaration.CheckChange(old, &doc); err != nil {
		return res, err
	}
	res.After = &declaration.Generation{
		Number: newest.Number + 1, Document: doc,
		Audit: declaration.Audit{
			Who: pr.Who, When: pub.now().UTC(), Why: pr.Why, Base: newest.Number,
			Changed: declaration.Diff(old, &doc), Effects: declaration.Effects(old, &doc), Accepted: declaration.Accepted(old, &doc),
		},
	}
	return res, nil
}

// Apply puts a proposal in force and returns what was accepted. Errors:
// [declaration.Mistakes], [declaration.Clashes], ErrAway, ErrInterrupted,
// ErrBusy, ErrSame, *[Uncertain].
func (pub *Publisher) Apply(ctx context.Context, pr Proposal) (Result, error) {
	for range attempts {
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
		if errors.Is(err, chain.ErrUnsettled) {
			err = pub.settle(ctx, res.After.Number, nonce)
		}
		if !errors.Is(err, chain.ErrTaken) {
			return res, away(err)
		}
	}
	return Result{}, ErrBusy
}

// settle reads back a write that was interrupted.
//
// The operator's command was stopped, or ran out of time, while the store's
// reply was missing. A bare "failed" would make them apply again, or believe
// that a withdrawal is not in force when it is. An entry that is ours is
// accepted for good and one of another writer is refused for good; an absent
// one may still land, so only that case stays uncertain.
func (pub *Publisher) settle(ctx context.Context, number core.Generation, nonce string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
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
