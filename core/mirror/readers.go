package mirror

import (
	"context"
	"time"

	"skylarkstand/core"
)

// Digest is what an entry tells the others of its copy, several times a second.
type Digest struct {
	// From is where the entry answers, and Revision that of its copy.
	From     string
	Revision core.Revision
	// Age is how long ago the copy was known to be the newest.
	Age time.Duration
	// Contact is how long ago the store last answered the entry, or [NoContact].
	Contact time.Duration
}

// NoContact is the contact of an entry that the store does not answer now.
const NoContact = -time.Second

const (
	// readerTimeout is how long after the store last answered any reader an entry still
	// relies on readers: a watch that brings nothing, and two rounds of telling.
	readerTimeout = waitTime + 500*time.Millisecond
	// idleLimit bounds how long a change of readers goes unnoticed.
	idleLimit = 500 * time.Millisecond
	// fetchLimit bounds one fetch, after which the store is watched instead.
	fetchLimit = 500 * time.Millisecond
	// watchGrace is the time in which an entry that watches the store mostly hears
	// itself what another one tells it has.
	watchGrace = 150 * time.Millisecond
)

// Digest returns what this entry tells the others.
func (fo *Follower) Digest(now time.Time) Digest {
	di := Digest{Revision: fo.mi.Revision(), Age: fo.mi.Age(now), Contact: NoContact}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if !fo.answeredAt.IsZero() && fo.since.IsZero() {
		di.Contact = now.Sub(fo.answeredAt)
	}
	return di
}

// Told takes in another entry's digest.
func (fo *Follower) Told(now time.Time, di Digest) {
	have := fo.mi.Revision()
	if have == 0 {
		return // The first copy is listed.
	}
	fo.mu.Lock()
	if at := now.Add(-di.Contact); di.Contact >= 0 && at.After(fo.contact) {
		fo.contact = at
	}
	newer := di.Revision > have
	if newer && di.Revision >= fo.newest.Revision {
		fo.newest = di
	}
	fo.mu.Unlock()
	switch {
	case newer:
		wake(fo.told)
	case di.Revision == have:
		fo.mi.Apply(nil, have, now.Add(-di.Age))
	}
}

// relies reports whether the readers watch the store for this entry now.
func (fo *Follower) relies(now time.Time) bool {
	if fo.reads() {
		return false
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.since.IsZero() && now.Sub(fo.contact) < readerTimeout
}

// idle waits while the readers watch the store, and reports whether they did.
func (fo *Follower) idle(ctx context.Context) bool {
	if !fo.relies(time.Now()) {
		return false
	}
	ti := time.NewTimer(idleLimit)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	case <-fo.direct:
		return false
	}
	return true
}

// fetchTold fetches what other entries tell that they have. Where the one that
// told does not answer, the store is watched at once.
func (fo *Follower) fetchTold(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-fo.told:
		}
		if !fo.relies(time.Now()) {
			sleep(ctx, watchGrace)
		}
		fo.mu.Lock()
		di := fo.newest
		fo.mu.Unlock()
		if di.Revision <= fo.mi.Revision() {
			continue
		}
		if !fo.fetch(ctx, di.From) {
			wake(fo.direct)
		}
	}
}

func (fo *Follower) fetch(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	asked := time.Now()
	ne, err := fo.sibs.AskAt(ctx, addr, fo.mi.Revision())
	if err != nil {
		return false
	}
	fo.take(ne, asked)
	return true
}

// wake has the one that waits on a channel look again.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
