package membership

import (
	"slices"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/rendezvous"
	"skylarkstand/core/watch"
)

const (
	// PerRegion is how many entries of a region watch the store for the others. With three, the region
	// still receives updates if two of them fail or are cut off from the store.
	PerRegion = 3
	// HeartbeatInterval is the pause between two heartbeats of a listed entry, and unlistedInterval that
	// of one that is not listed yet.
	HeartbeatInterval = time.Second
	unlistedInterval  = 250 * time.Millisecond
	// ackTimeout is how long a heartbeat may stay unanswered: for two heartbeats in a row. firstAckTimeout
	// applies to an entry that has never answered, which may have ended long ago.
	ackTimeout      = 2200 * time.Millisecond
	firstAckTimeout = 700 * time.Millisecond
	// unfitPeriod is how long an entry is passed over.
	unfitPeriod = 5 * time.Second
)

// Readers is this entry's view of the readers of its region. It is safe for concurrent use.
type Readers struct {
	self    watch.Member
	regions map[core.Zone]core.Region
	members func() []watch.Member

	mu    sync.Mutex
	peers map[string]*peer
	// sponsor is the entry that this entry's first copy came from. It is asked while no entry of the
	// region is listed.
	sponsor string
}

// peer is the state of an entry that heartbeats were sent to, by its address.
type peer struct {
	// askedAt is when the oldest unanswered heartbeat was sent; zero if there is none.
	askedAt    time.Time
	answered   bool
	unfitUntil time.Time
}

// NewReaders returns the view of an entry. Members returns the listed entries of all regions.
func NewReaders(self watch.Member, regions map[core.Zone]core.Region, members func() []watch.Member) *Readers {
	return &Readers{self: self, regions: regions, members: members, peers: map[string]*peer{}}
}

// inRegion reports whether an entry is in the region of this one.
func (rd *Readers) inRegion(me watch.Member) bool {
	return rd.regions[me.Zone] == rd.regions[rd.self.Zone]
}

// SetSponsor records the entry that the first copy came from.
func (rd *Readers) SetSponsor(addr string) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.sponsor = addr
}

// Addrs returns the addresses of the readers, the most preferred first. This entry's own address is
// among them if it is a reader itself.
func (rd *Readers) Addrs(now time.Time) []string {
	entries := slices.DeleteFunc(rd.members(), func(me watch.Member) bool { return !rd.inRegion(me) })
	region := string(rd.regions[rd.self.Zone])
	order := rendezvous.Top(region, entries, len(entries), func(me watch.Member) string { return string(me.ID) })
	rd.mu.Lock()
	defer rd.mu.Unlock()
	var out []string
	for _, me := range order {
		if len(out) == PerRegion {
			return out
		}
		if me.Addr == rd.self.Addr || rd.isFit(now, me.Addr) {
			out = append(out, me.Addr)
		}
	}
	if len(out) > 0 {
		return out
	}
	if rd.sponsor != "" && rd.sponsor != rd.self.Addr && rd.isFit(now, rd.sponsor) {
		return []string{rd.sponsor}
	}
	return []string{rd.self.Addr}
}

// Rank returns this entry's place among the readers, or [PerRegion] if it is none.
func (rd *Readers) Rank(now time.Time) int {
	if at := slices.Index(rd.Addrs(now), rd.self.Addr); at >= 0 {
		return at
	}
	return PerRegion
}

// WriterRank returns this entry's place among the entries of all regions that may make a write which
// only one should make. Readers come first: unlike other entries, they are known to be up.
func (rd *Readers) WriterRank(now time.Time) int {
	var all []core.Region
	for _, re := range rd.regions {
		if !slices.Contains(all, re) {
			all = append(all, re)
		}
	}
	slices.Sort(all)
	return rd.Rank(now)*len(all) + slices.Index(all, rd.regions[rd.self.Zone])
}

// IsReader reports whether this entry watches the store for others.
func (rd *Readers) IsReader(now time.Time) bool { return rd.Rank(now) < PerRegion }

// isFit reports whether an entry may be a reader, and notices heartbeats that stay unanswered.
func (rd *Readers) isFit(now time.Time, addr string) bool {
	pe := rd.peers[addr]
	if pe == nil {
		return true
	}
	timeout := firstAckTimeout
	if pe.answered {
		timeout = ackTimeout
	}
	if !pe.askedAt.IsZero() && now.Sub(pe.askedAt) > timeout {
		*pe = peer{unfitUntil: now.Add(unfitPeriod)}
	}
	return !now.Before(pe.unfitUntil)
}

// HeartbeatSent records a heartbeat to another entry.
func (rd *Readers) HeartbeatSent(now time.Time, addr string) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	pe := rd.peers[addr]
	if pe == nil {
		pe = &peer{}
		rd.peers[addr] = pe
	}
	if pe.askedAt.IsZero() {
		pe.askedAt = now
	}
}

// AckReceived records the acknowledgment of another entry, and whether it has contact to the store.
func (rd *Readers) AckReceived(now time.Time, addr string, contact bool) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	pe := rd.peers[addr]
	if pe == nil {
		return
	}
	pe.askedAt, pe.answered = time.Time{}, true
	if !contact {
		pe.unfitUntil = now.Add(unfitPeriod)
	}
}
