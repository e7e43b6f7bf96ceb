package replica

import (
	"context"
	"time"

	"skylarkstand/core"
)

// Digest is the state of an entry's replica, gossiped several times a second.
type Digest struct {
	// From is the address at which the entry serves its replica, and Revision the
	// replica's revision.
	From     string
	Revision core.Revision
	// Age is the time since the replica was last confirmed up to date.
	Age time.Duration
	// Contact is the time since the store last answered the entry, or another one that the entry got its
	// changes from, or [NoContact].
	Contact time.Duration
	// Settled reports whether no removal up to Revision is doubtful, see [Replica.Settle].
	Settled bool
}

// NoContact is the Contact of an entry that has had no answers from the store for a while.
const NoContact = -time.Second

const (
	// readerTimeout is the time without an answer of the store to any reader after which an
	// entry stops relying on readers: the wait of a watch without changes plus the interval of
	// heartbeats, and a margin: the watches of all readers may have begun at the same moment.
	readerTimeout = watchWait + 1500*time.Millisecond
	// contactTimeout is the time without an answer of the store, to this entry or to one that it gets its
	// changes from, after which it has no contact.
	contactTimeout = 5 * time.Second
	// readerCheckInterval bounds how long a change of readers goes unnoticed.
	readerCheckInterval = 500 * time.Millisecond
	// fetchTimeout bounds one fetch, which may be referred from one sibling to another; on failure the
	// entry watches the store instead.
	fetchTimeout = 2 * time.Second
	// watchGrace is the time within which an entry that watches the store usually receives
	// a change itself after another entry has announced it.
	watchGrace = 150 * time.Millisecond
)

// Digest returns the digest of this entry's replica.
func (fo *Follower) Digest(now time.Time) Digest {
	di := Digest{Revision: fo.re.Revision(), Age: fo.re.Age(now), Contact: NoContact}
	di.Settled = !fo.Doubtful()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	answeredAt := fo.siblingAnsweredAt
	if fo.downSince.IsZero() && fo.answeredAt.After(answeredAt) {
		answeredAt = fo.answeredAt
	}
	if contact := now.Sub(answeredAt); contact < contactTimeout {
		di.Contact = contact
	}
	return di
}

// ReceiveDigest processes a digest received from another entry.
func (fo *Follower) ReceiveDigest(now time.Time, di Digest) {
	have := fo.re.Revision()
	if have == 0 {
		return // The first copy comes from a listing.
	}
	fo.mu.Lock()
	if at := now.Add(-di.Contact); di.Contact >= 0 && at.After(fo.siblingAnsweredAt) {
		fo.siblingAnsweredAt = at
	}
	newer := di.Revision > have
	if newer && di.Revision >= fo.newest.Revision {
		fo.newest = di
	}
	fo.mu.Unlock()
	switch {
	case newer:
		wake(fo.newerSignal)
	case di.Revision == have:
		fo.re.Apply(nil, have, now.Add(-di.Age))
	}
	if !newer && di.Settled {
		fo.re.Settle(di.Revision)
	}
}

// reliesOnReaders reports whether readers currently watch the store for this entry.
func (fo *Follower) reliesOnReaders(now time.Time) bool {
	if fo.isReader() {
		return false
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return now.Sub(fo.siblingAnsweredAt) < readerTimeout
}

// waitForReaders waits for up to readerCheckInterval while readers watch the store. It
// returns false if this entry must watch the store itself.
func (fo *Follower) waitForReaders(ctx context.Context) bool {
	if !fo.reliesOnReaders(time.Now()) {
		return false
	}
	fo.leaveStore()
	ti := time.NewTimer(readerCheckInterval)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	case <-fo.watchSignal:
		return false
	}
	return true
}

// leaveStore ends this entry's own calls of the store: the readers know whether it answers.
// An entry that once had to watch the store itself would otherwise call it until it is accepted.
func (fo *Follower) leaveStore() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.downSince, fo.watching = time.Time{}, false
}

// fetchNewer fetches changes that other entries announce. If the announcing entry does
// not answer, this entry watches the store at once.
func (fo *Follower) fetchNewer(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-fo.newerSignal:
		}
		if !fo.reliesOnReaders(time.Now()) {
			sleep(ctx, watchGrace)
		}
		fo.mu.Lock()
		di := fo.newest
		fo.mu.Unlock()
		if di.Revision <= fo.re.Revision() {
			continue
		}
		if !fo.fetch(ctx, di.From) {
			wake(fo.watchSignal)
		}
		fo.forgetNewest(di)
	}
}

// forgetNewest forgets a digest that has been acted upon. One whose entry does not have that revision would hide those
// of all others.
func (fo *Follower) forgetNewest(di Digest) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.newest == di {
		fo.newest = Digest{}
	}
}

func (fo *Follower) fetch(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	requestedAt := time.Now()
	up, err := fo.sibs.FetchFrom(ctx, addr, fo.re.Revision())
	if err != nil {
		return false
	}
	fo.applyUpdate(up, requestedAt)
	return true
}

// wake signals a channel without blocking.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
