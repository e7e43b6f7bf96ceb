package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
)

// Update is the difference between a revision and another entry's replica.
type Update struct {
	// Newer reports whether the other entry's replica is newer than the revision.
	Newer bool
	// Full reports whether Items is the other entry's full copy. Otherwise Changes are the
	// changes from the requested revision to Revision.
	Full     bool
	Items    []core.Item
	Changes  []core.Change
	Revision core.Revision
	// Age is the time since the other entry's replica was last confirmed up to date.
	Age time.Duration
	// Doubtful reports whether removals may be leases that expired during a store outage, except those
	// of Changes that are certain by themselves.
	Doubtful bool
}

// Siblings fetches updates from the other entries.
type Siblings interface {
	// Fetch returns the most recent update since a revision that another entry has.
	Fetch(ctx context.Context, after core.Revision) (Update, error)
	// FetchFrom returns the changes since a revision from the entry at an address, or its full
	// copy if it has dropped some of them from its log.
	FetchFrom(ctx context.Context, addr string, after core.Revision) (Update, error)
}

// Seeds provides the first copy.
type Seeds interface {
	// FetchFirst returns the copy of another entry. It waits for one that starts at the same time,
	// until the context ends. It fails at once if this entry has to read the store itself.
	FetchFirst(ctx context.Context) (Update, error)
}

// Follower is the service that keeps a replica up to date. It implements suture.Service.
//
// With many entries only a few of them, the readers, watch the store. The others receive
// the newest revision in the readers' digests, fetch the changes they lack, and watch the
// store themselves if no digest has shown a reader in contact with the store for
// [readerTimeout]. The choice of readers is only a hint: with no reader alive, every entry
// watches the store.
type Follower struct {
	deps core.Deps
	re   *Replica
	feed core.ChangeFeed
	sibs Siblings
	// isReader reports whether this entry is one of the readers.
	isReader func() bool
	// seeds provides the first copy; nil if it comes from the store.
	seeds Seeds
	// isOperators reports whether a key is written by operators.
	isOperators func(key string) bool
	// batchedAt is the end of the last watch that returned changes of upstreams, with the pause after it.
	batchedAt time.Time

	mu sync.Mutex
	// downSince is when the store stopped answering; zero while it answers.
	downSince time.Time
	// watching is set while the store has answered each call, without a pause between them in which an
	// outage could have gone unnoticed.
	watching bool
	// doubtUntil is the time as of which the store has to confirm the replica before a missing key is
	// known to be gone; zero once it has. It is only meaningful while watching.
	doubtUntil time.Time
	// answeredAt is when the store last answered this entry, and siblingAnsweredAt when it last
	// answered another one, according to that entry.
	answeredAt, siblingAnsweredAt time.Time
	// newest is the digest with the highest revision received from another entry.
	newest Digest
	// downSignal wakes pollSiblings, newerSignal wakes fetchNewer, and watchSignal ends
	// waitForReaders so that the entry watches the store itself.
	downSignal, newerSignal, watchSignal chan struct{}
}

// Option configures a Follower.
type Option func(*Follower)

// IsReader sets the function that reports whether the entry is a reader, which watches the
// store at all times. By default every entry is one.
func IsReader(fn func() bool) Option { return func(fo *Follower) { fo.isReader = fn } }

// FirstCopyFrom sets where an entry gets its first copy from, before it asks the store. A start of many
// entries would otherwise have all of them list the store at the same moment.
func FirstCopyFrom(se Seeds) Option { return func(fo *Follower) { fo.seeds = se } }

// OperatorKeys sets which keys are written by operators. A watch that returned one of them is
// repeated at once: a configuration is often followed by an order whose duration already runs.
func OperatorKeys(fn func(key string) bool) Option {
	return func(fo *Follower) { fo.isOperators = fn }
}

const (
	// seedTimeout is how long an entry waits for a first copy from its seeds before it lists the store,
	// and seedJitter spreads the listings of entries that wait for the same seed.
	seedTimeout = 2 * time.Second
	seedJitter  = time.Second
	// watchWait is how long a watch waits for changes. If the reply with a change is lost,
	// the change is found shortly after this time has elapsed.
	watchWait = 2500 * time.Millisecond
	// clockTolerance is how much less than its wait a watch may last by this host's clock.
	clockTolerance = 50 * time.Millisecond
	// probeWait is how long a watch waits during a store outage. With a long wait, a watch
	// sent during the outage would delay the detection of the store's recovery until it
	// times out.
	probeWait = time.Millisecond
	// batchDelay is the pause after a watch that returned changes of upstreams, from the second of a
	// group on. They change in groups, for example during a roll-out, and each new watch costs a call.
	// Half a second is a small part of the three seconds in which a change must arrive, and usually
	// delays nothing, since a watch on an idle store returns a change at once.
	batchDelay = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call. Each entry calls a
	// store that is down a few times a second to detect its recovery soon; that is far
	// below the store's rate limits.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// siblingPollInterval is the pause between two requests to siblings during a store
	// outage, and siblingPollTimeout bounds one request.
	siblingPollInterval = 400 * time.Millisecond
	siblingPollTimeout  = 700 * time.Millisecond
	// settlePeriod is the time after the return of the store in which an upstream whose lease has
	// expired registers again: about two seconds.
	settlePeriod = 2250 * time.Millisecond
)

// NewFollower returns the service that keeps re up to date from feed, and from the
// siblings while feed does not answer.
func NewFollower(deps core.Deps, re *Replica, feed core.ChangeFeed, sibs Siblings, opts ...Option) *Follower {
	fo := &Follower{
		deps: deps, re: re, feed: feed, sibs: sibs, isReader: func() bool { return true }, isOperators: func(string) bool { return false },
		downSignal: make(chan struct{}, 1), newerSignal: make(chan struct{}, 1), watchSignal: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(fo)
	}
	return fo
}

// Serve implements suture.Service.
func (fo *Follower) Serve(ctx context.Context) error {
	go fo.pollSiblings(ctx)
	go fo.fetchNewer(ctx)
	pause, listed := minBackoff, false
	for ctx.Err() == nil {
		if listed && fo.waitForReaders(ctx) {
			continue
		}
		if !listed && fo.fetchFirst(ctx) {
			listed = true
			continue
		}
		err := fo.listOrWatch(ctx, &listed)
		if err == nil {
			pause = minBackoff
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, core.ErrCompacted) {
			listed = false
			continue
		}
		fo.recordFailure(err)
		sleep(ctx, pause)
		pause = min(2*pause, maxBackoff)
	}
	return ctx.Err()
}

// fetchFirst gets the first copy from the seeds.
func (fo *Follower) fetchFirst(ctx context.Context) bool {
	if fo.seeds == nil || fo.re.Revision() != 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout+rand.N(seedJitter))
	defer cancel()
	requestedAt := time.Now()
	up, err := fo.seeds.FetchFirst(ctx)
	if err != nil {
		event.Log(fo.deps.Log, event.NoSeed, "error", err)
		return false
	}
	fo.applyUpdate(up, requestedAt)
	return fo.re.Revision() != 0
}

// listOrWatch makes one store call: a listing until one has succeeded, then a watch.
func (fo *Follower) listOrWatch(ctx context.Context, listed *bool) error {
	requestedAt := time.Now()
	if !*listed {
		items, rev, err := fo.feed.Snapshot(ctx)
		if err != nil {
			return err
		}
		fo.applyListing(items, rev, requestedAt)
		*listed = true
		return nil
	}
	wait := fo.watchTime(requestedAt)
	changes, rev, err := fo.feed.Changes(ctx, fo.re.Revision(), wait)
	if err != nil {
		return err
	}
	fo.applyWatch(changes, rev, confirmedAt(requestedAt, wait, len(changes)))
	if len(changes) > 0 && !slices.ContainsFunc(changes, func(ch core.Change) bool { return fo.isOperators(ch.Key) }) {
		if time.Since(fo.batchedAt) < batchDelay {
			sleep(ctx, batchDelay)
		}
		fo.batchedAt = time.Now()
	}
	return nil
}

// applyListing applies a listing of the store.
func (fo *Follower) applyListing(items []core.Item, rev core.Revision, confirmedAt time.Time) {
	var replaced bool
	if fo.recordSuccess(confirmedAt) {
		replaced = fo.re.Replace(items, rev, confirmedAt)
		fo.re.Settle(rev)
	} else {
		replaced = fo.re.ReplaceDoubtfully(items, rev, confirmedAt)
	}
	if replaced {
		event.Log(fo.deps.Log, event.MirrorListed, "revision", rev, "keys", len(items))
	}
}

// applyWatch applies the answer to a watch.
func (fo *Follower) applyWatch(changes []core.Change, rev core.Revision, confirmedAt time.Time) {
	certain := fo.recordSuccess(confirmedAt)
	for i := range changes {
		changes[i].Certain = certain
	}
	fo.re.Apply(changes, rev, confirmedAt)
	if certain {
		fo.re.Settle(rev)
	}
}

// pollSiblings fetches updates from the other entries while the store does not answer.
//
// The store may reject this host, or be cut off from it, while it serves the others and
// accepts changes from operators. Without updates from siblings, a revoked key would
// remain valid here until the store answers again.
func (fo *Follower) pollSiblings(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-fo.downSignal:
		}
		for fo.storeDown() && ctx.Err() == nil {
			fo.fetchFromSiblings(ctx)
			sleep(ctx, siblingPollInterval)
		}
	}
}

// fetchFromSiblings fetches an update from any sibling and applies it.
func (fo *Follower) fetchFromSiblings(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, siblingPollTimeout)
	defer cancel()
	requestedAt := time.Now()
	up, err := fo.sibs.Fetch(ctx, fo.re.Revision())
	if err != nil {
		meter.SiblingsSilent.Inc(fo.deps.Metrics)
		return
	}
	fo.applyUpdate(up, requestedAt)
}

// applyUpdate applies an update that another entry sent after requestedAt.
func (fo *Follower) applyUpdate(up Update, requestedAt time.Time) {
	confirmedAt := requestedAt.Add(-up.Age)
	if have := fo.re.Revision(); !up.Newer && up.Revision > have {
		return // It contradicts itself: its changes would be missed for good.
	}
	fo.mu.Lock()
	if confirmedAt.After(fo.siblingAnsweredAt) {
		fo.siblingAnsweredAt = confirmedAt
	}
	fo.mu.Unlock()
	switch {
	case !up.Newer:
		fo.re.Apply(nil, up.Revision, confirmedAt)
	case !up.Full:
		for i := range up.Changes {
			up.Changes[i].Certain = up.Changes[i].Certain || !up.Doubtful
		}
		fo.re.Apply(up.Changes, up.Revision, confirmedAt)
	default:
		fo.applyCopy(up, confirmedAt)
	}
	if !up.Doubtful {
		fo.re.Settle(up.Revision)
	}
}

// applyCopy applies another entry's full copy.
func (fo *Follower) applyCopy(up Update, confirmedAt time.Time) {
	replace := fo.re.Replace
	if up.Doubtful {
		replace = fo.re.ReplaceDoubtfully
	}
	if replace(up.Items, up.Revision, confirmedAt) {
		event.Log(fo.deps.Log, event.MirrorBySibling, "revision", up.Revision, "age", up.Age, "keys", len(up.Items), "doubtful", up.Doubtful)
	}
}

func sleep(ctx context.Context, du time.Duration) {
	ti := time.NewTimer(du)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
}
