package membership

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/meter"
	"skylarkstand/core/share"
	"skylarkstand/core/watch"
)

const (
	// LapseTime is how long an entry that has ended stays listed. What it has used of what the entries
	// share still counts for that long.
	LapseTime = share.RegistrationTTL
	// checkInterval is the pause between two checks for changes of the list, and collectTime how long a
	// new entry waits for others that can be written in the same transaction.
	checkInterval = 250 * time.Millisecond
	collectTime   = 300 * time.Millisecond
	// lapseCheckInterval is the pause between two checks for entries that have stopped.
	lapseCheckInterval = time.Second
	// rankDelay is how long a registrar waits for each one before it, and for all readers if it is none,
	// before it makes a change itself.
	rankDelay = 1500 * time.Millisecond
	// confirmTime is how long a written change may take to come back from the store.
	confirmTime = 3 * time.Second
	// retryDelay is the pause after a failed write.
	retryDelay = time.Second
	// maxPause is the time between two checks for stopped entries above which this process was paused, so
	// that heartbeats may have been lost.
	maxPause = 3 * time.Second
	// maxBatch is the number of entries in one transaction, and of those removed at a time.
	maxBatch = 30
)

// Store writes the list of entries.
type Store interface {
	// WriteAll writes the puts and removes the keys in one transaction without conditions.
	// Errors: ErrUnavailable, ErrUncertain.
	WriteAll(ctx context.Context, puts []core.Item, remove []string) error
}

// List is the list of entries as this entry knows it.
type List interface {
	// IsKnown reports whether the list was received already.
	IsKnown() bool
	// IsRegistered reports whether a process is listed.
	IsRegistered(id core.ProcessID) bool
	// Registrations lists the processes of all regions, including those that were replaced at their
	// address.
	Registrations() []watch.Member
}

// Registrar is the service that keeps the list of entries up to date from heartbeats. Every entry runs
// one: those that are no readers act only if the readers do not. It implements suture.Service.
type Registrar struct {
	deps    core.Deps
	st      Store
	readers *Readers
	self    watch.Member
	list    List

	mu    sync.Mutex
	heard map[core.ProcessID]*sender
	// seen holds when this entry, as a reader, first found each listed entry. It is nil while this entry
	// is no reader.
	seen map[core.ProcessID]sighting
	// checkedAt is when the list was last checked for entries that have stopped.
	checkedAt time.Time
}

// sender is an entry that sends heartbeats here.
type sender struct {
	// value is its registration.
	value []byte
	// at is when its last heartbeat came, unlistedSince since when it has been missing in the list (zero
	// if it is listed), and writtenAt when its registration was last written.
	at, unlistedSince, writtenAt time.Time
}

// sighting is a listed entry's registration and when it was found.
type sighting struct {
	revision core.Revision
	at       time.Time
}

// NewRegistrar returns the registrar of an entry.
func NewRegistrar(deps core.Deps, st Store, rd *Readers, self watch.Member, li List) *Registrar {
	return &Registrar{deps: deps, st: st, readers: rd, self: self, list: li, heard: map[core.ProcessID]*sender{}}
}

// Record returns this entry's registration, which its heartbeats carry.
func (rg *Registrar) Record() (core.ProcessID, []byte, error) {
	me := rg.self
	me.Heartbeats = true
	raw, err := json.Marshal(me)
	return me.ID, raw, eris.Wrap(err, "this entry's registration could not be encoded")
}

// Readers returns the addresses of the readers of the region; see [Readers.Addrs].
func (rg *Registrar) Readers(now time.Time) []string { return rg.readers.Addrs(now) }

// HeartbeatSent records a heartbeat to another entry.
func (rg *Registrar) HeartbeatSent(now time.Time, addr string) { rg.readers.HeartbeatSent(now, addr) }

// AckReceived records the acknowledgment of another entry, and whether it has contact to the store.
func (rg *Registrar) AckReceived(now time.Time, addr string, contact bool) {
	rg.readers.AckReceived(now, addr, contact)
}

// ReceiveHeartbeat records a heartbeat of another entry.
func (rg *Registrar) ReceiveHeartbeat(now time.Time, id core.ProcessID, value []byte) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	se := rg.heard[id]
	if se == nil {
		se = &sender{value: append([]byte(nil), value...), unlistedSince: now}
		rg.heard[id] = se
	}
	se.at = now
}

// Interval returns the pause until this entry's next heartbeat.
func (rg *Registrar) Interval() time.Duration {
	if rg.list.IsRegistered(rg.self.ID) {
		return HeartbeatInterval
	}
	return unlistedInterval
}

// Serve implements suture.Service.
func (rg *Registrar) Serve(ctx context.Context) error {
	id, value, err := rg.Record()
	if err != nil {
		return err
	}
	pause := checkInterval
	for {
		ti := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			ti.Stop()
			return ctx.Err()
		case <-ti.C:
		}
		pause = checkInterval
		if !rg.list.IsKnown() {
			continue
		}
		now := time.Now()
		rg.ReceiveHeartbeat(now, id, value)
		if err := rg.write(ctx, rg.due(now)); err != nil && ctx.Err() == nil {
			pause = retryDelay
			event.Log(rg.deps.Log, event.StoreWriteLate, "key", watch.PrefixEntries, "error", err)
			meter.RegisterFailed.Inc(rg.deps.Metrics)
		}
	}
}

// change is a change of the list.
type change struct {
	add    []core.Item
	remove []core.ProcessID
}

// batches splits the change into transactions.
func (ch *change) batches() []change {
	var out []change
	for add := range slices.Chunk(ch.add, maxBatch) {
		out = append(out, change{add: add})
	}
	if len(ch.remove) > 0 {
		out = append(out, change{remove: ch.remove})
	}
	return out
}

// due returns the changes that this entry should write now.
func (rg *Registrar) due(now time.Time) change {
	rank := rg.readers.Rank(now)
	wait := time.Duration(rank) * rankDelay
	rg.mu.Lock()
	defer rg.mu.Unlock()
	var ch change
	rg.addUnlisted(now, &ch, wait)
	if rank == PerRegion {
		rg.seen = nil
		return ch
	}
	if now.Sub(rg.checkedAt) >= lapseCheckInterval {
		rg.updateSightings(now)
		rg.addLapsed(now, &ch, wait)
	}
	return ch
}

// addUnlisted adds the entries that send heartbeats and are not listed: all of them, since the readers may change
// with the first batch that is written.
func (rg *Registrar) addUnlisted(now time.Time, ch *change, wait time.Duration) {
	for id, se := range rg.heard {
		if now.Sub(se.at) > LapseTime {
			delete(rg.heard, id)
			continue
		}
		if rg.list.IsRegistered(id) {
			se.unlistedSince, se.writtenAt = time.Time{}, time.Time{}
			continue
		}
		if se.unlistedSince.IsZero() {
			se.unlistedSince = now
		}
		if now.Sub(se.unlistedSince) >= wait+collectTime && now.Sub(se.writtenAt) >= confirmTime {
			ch.add = append(ch.add, core.Item{Key: watch.PrefixEntries + string(id), Value: se.value})
			se.writtenAt = now
		}
	}
}

// updateSightings records since when the registrations are known here. It starts anew after a pause in
// which this entry was no reader or did not run, since it got no heartbeats then.
func (rg *Registrar) updateSightings(now time.Time) {
	if rg.seen == nil || now.Sub(rg.checkedAt) > maxPause {
		rg.seen = map[core.ProcessID]sighting{}
	}
	rg.checkedAt = now
	for id := range rg.seen {
		if !rg.list.IsRegistered(id) {
			delete(rg.seen, id)
		}
	}
	for _, me := range rg.list.Registrations() {
		if si, ok := rg.seen[me.ID]; !ok || si.revision != me.Revision {
			rg.seen[me.ID] = sighting{me.Revision, now}
		}
	}
}

// addLapsed adds the removal of the entries of this region that have stopped sending heartbeats.
// Entries whose registration has a lease of its own are left alone.
func (rg *Registrar) addLapsed(now time.Time, ch *change, wait time.Duration) {
	for _, me := range rg.list.Registrations() {
		if !me.Heartbeats || me.ID == rg.self.ID || !rg.readers.inRegion(me) || len(ch.remove) >= maxBatch {
			continue
		}
		last := rg.seen[me.ID].at
		if se := rg.heard[me.ID]; se != nil && se.at.After(last) {
			last = se.at
		}
		if now.Sub(last) >= LapseTime+wait {
			ch.remove = append(ch.remove, me.ID)
			rg.seen[me.ID] = sighting{me.Revision, now.Add(confirmTime - LapseTime - wait)}
		}
	}
}

// write writes changes of the list. They need no conditions: an id is never used again, and a removal
// of an entry that is still up is undone by its next heartbeat.
func (rg *Registrar) write(ctx context.Context, ch change) error {
	batches := ch.batches()
	for i, ba := range batches {
		remove := make([]string, len(ba.remove))
		for i, id := range ba.remove {
			remove[i] = watch.PrefixEntries + string(id)
		}
		if err := rg.st.WriteAll(ctx, ba.add, remove); err != nil {
			rg.forgetWrites(batches[i:])
			return err
		}
		event.Log(rg.deps.Log, event.Registered, "added", len(ba.add), "removed", len(ba.remove))
	}
	return nil
}

// forgetWrites lets a failed write be repeated at once, with those that were to follow it.
func (rg *Registrar) forgetWrites(batches []change) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	for _, ba := range batches {
		for _, it := range ba.add {
			if se := rg.heard[core.ProcessID(it.Key[len(watch.PrefixEntries):])]; se != nil {
				se.writtenAt = time.Time{}
			}
		}
	}
}
