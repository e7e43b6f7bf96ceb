package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
)

// News is another entry's copy, as far as it is newer.
type News struct {
	Newer bool
	// Items replace the copy that was asked about where Whole is set. Otherwise
	// Changes lead from it to Revision.
	Whole    bool
	Items    []core.Item
	Changes  []core.Change
	Revision core.Revision
	// Age is how long ago the copy was known to be the newest.
	Age time.Duration
	// Doubtful says that removals among the news may be the store's own trouble.
	Doubtful bool
}

// Siblings are the other entries.
type Siblings interface {
	// Ask returns the best news that another entry has over a revision.
	Ask(ctx context.Context, after core.Revision) (News, error)
	// AskAt returns the changes that the entry at an address has; it fails where some
	// of them are not kept there.
	AskAt(ctx context.Context, addr string, after core.Revision) (News, error)
}

// Follower is the duty that keeps a mirror. It implements suture's Service.
//
// With many entries only a few, the readers, watch the store. The others hear
// from them which revision is the newest, fetch what they lack, and watch the
// store themselves whenever they have not heard of a reader in touch with it for
// [readerTimeout]. Who reads is a hint: with no reader alive everybody reads.
type Follower struct {
	deps  core.Deps
	mi    *Mirror
	feed  core.Feed
	sibs  Siblings
	reads func() bool

	mu sync.Mutex
	// since is when the store began not to answer; zero while it answers.
	since time.Time
	// doubt is until when a removal may be a lapsed lease.
	doubt time.Time
	// answeredAt is when the store last answered this entry, and contact when it last
	// answered another one, by what that told.
	answeredAt, contact time.Time
	// newest is the digest of the highest revision that another entry told.
	newest Digest
	// trouble wakes the one who asks siblings, told the one who fetches what
	// another entry has, and direct the one who watches the store.
	trouble, told, direct chan struct{}
}

// Option changes a Follower at construction.
type Option func(*Follower)

// Reads sets whether the entry watches the store at all times.
func Reads(fn func() bool) Option { return func(fo *Follower) { fo.reads = fn } }

const (
	// waitTime is how long a watch waits. Where its answer is lost on the way, the
	// change is found when the wait and a little more are over.
	waitTime = 2500 * time.Millisecond
	// probeTime is how long a watch waits while the store is in trouble: its
	// return must not be noticed only when a long watch that was asked in vain
	// has run out.
	probeTime = time.Millisecond
	// gather is the pause after a watch that brought changes. Upstreams change
	// in groups, as at a roll-out, and each watch that is asked anew costs a
	// call; half a second is little of the three that a change has, and mostly
	// none of them, since a quiet store answers at once.
	gather = 500 * time.Millisecond
	// pauseFirst and pauseMost bound the pause after a call that failed. A
	// store that is down is asked by each entry a few times a second, so that
	// its return is noticed soon; that is far below its rates.
	pauseFirst = 100 * time.Millisecond
	pauseMost  = 400 * time.Millisecond
	// askEvery is the pause between two questions to siblings while the store
	// does not answer, and askLimit bounds one.
	askEvery = 400 * time.Millisecond
	askLimit = 700 * time.Millisecond
	// doubtFor is how long after the store's trouble a removal may still be a
	// lapsed lease: upstreams write themselves back within two seconds.
	doubtFor = 4 * time.Second
)

// NewFollower returns the duty that keeps mi up to date from feed, and from the
// siblings while that does not answer.
func NewFollower(deps core.Deps, mi *Mirror, feed core.Feed, sibs Siblings, opts ...Option) *Follower {
	fo := &Follower{
		deps: deps, mi: mi, feed: feed, sibs: sibs, reads: func() bool { return true },
		trouble: make(chan struct{}, 1), told: make(chan struct{}, 1), direct: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(fo)
	}
	return fo
}

// Serve implements suture's Service.
func (fo *Follower) Serve(ctx context.Context) error {
	go fo.askSiblings(ctx)
	go fo.fetchTold(ctx)
	pause, listed := pauseFirst, false
	for ctx.Err() == nil {
		if listed && fo.idle(ctx) {
			continue
		}
		err := fo.step(ctx, &listed)
		if err == nil {
			fo.answered()
			pause = pauseFirst
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, core.ErrCompacted) {
			listed = false
			continue
		}
		fo.failed(err)
		sleep(ctx, pause)
		pause = min(2*pause, pauseMost)
	}
	return ctx.Err()
}

// step makes one call: a listing first, and a watch from then on.
func (fo *Follower) step(ctx context.Context, listed *bool) error {
	asked := time.Now()
	if !*listed {
		items, rev, err := fo.feed.Snapshot(ctx)
		if err != nil {
			return err
		}
		if fo.mi.Replace(items, rev, asked) {
			event.Log(fo.deps.Log, event.MirrorListed, "revision", rev, "keys", len(items))
		}
		*listed = true
		return nil
	}
	wait := waitTime
	if fo.away() {
		wait = probeTime
	}
	changes, rev, err := fo.feed.Changes(ctx, fo.mi.Revision(), wait)
	if err != nil {
		return err
	}
	fo.mi.Apply(changes, rev, asked)
	if len(changes) > 0 {
		sleep(ctx, gather)
	}
	return nil
}

func (fo *Follower) failed(err error) {
	fo.mu.Lock()
	first := fo.since.IsZero()
	if first {
		fo.since = time.Now()
	}
	fo.mu.Unlock()
	if first {
		event.Log(fo.deps.Log, event.StoreDown, "error", err, "revision", fo.mi.Revision())
	}
	meter.StoreWatchFailed.Inc(fo.deps.Metrics)
	wake(fo.trouble)
}

// away reports whether the store does not answer now.
func (fo *Follower) away() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return !fo.since.IsZero()
}

func (fo *Follower) answered() {
	now := time.Now()
	fo.mu.Lock()
	since := fo.since
	if !since.IsZero() {
		fo.since, fo.doubt = time.Time{}, now.Add(doubtFor)
	}
	fo.answeredAt = now
	fo.mu.Unlock()
	if !since.IsZero() {
		event.Log(fo.deps.Log, event.StoreBack, "away", time.Since(since), "revision", fo.mi.Revision())
	}
}

// Doubtful reports whether a removal that is heard of now may be a lease that
// ran out in the store's own trouble.
func (fo *Follower) Doubtful(now time.Time) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return !fo.since.IsZero() || now.Before(fo.doubt)
}

// askSiblings asks the other entries for news while the store does not answer.
//
// The store may turn this host away, or be cut off from it, while it serves the
// others and takes changes from the operators. A key that was taken away would
// go on working here for as long as that lasts.
func (fo *Follower) askSiblings(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-fo.trouble:
		}
		for fo.away() && ctx.Err() == nil {
			fo.ask(ctx)
			sleep(ctx, askEvery)
		}
	}
}

func (fo *Follower) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	asked := time.Now()
	ne, err := fo.sibs.Ask(ctx, fo.mi.Revision())
	if err != nil {
		meter.SiblingsSilent.Inc(fo.deps.Metrics)
		return
	}
	fo.take(ne, asked)
}

// take takes in the news that another entry had at a moment after asked.
func (fo *Follower) take(ne News, asked time.Time) {
	if ne.Doubtful {
		fo.mu.Lock()
		fo.doubt = time.Now().Add(doubtFor)
		fo.mu.Unlock()
	}
	heard := asked.Add(-ne.Age)
	switch {
	case !ne.Newer:
		fo.mi.Apply(nil, ne.Revision, heard)
	case !ne.Whole:
		fo.mi.Apply(ne.Changes, ne.Revision, heard)
	case fo.mi.Replace(ne.Items, ne.Revision, heard):
		event.Log(fo.deps.Log, event.MirrorBySibling, "revision", ne.Revision, "age", ne.Age, "keys", len(ne.Items))
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
