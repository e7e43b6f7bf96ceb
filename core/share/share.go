// Package share divides an allowance, which all entries share over any span of a window, into parts that
// never add up to more than it, whichever entries start, stop, or have an old list of the others.
//
// Entries cannot ask one another each time, and an entry that has just started may know no other one. So a
// part is never taken from what an entry does not know. A quarter of the allowance is divided by rank, which is
// an entry's place in the order of registration: a process takes a part once it finds itself on the list,
// and all processes that ended lately are still on it. Three quarters are divided equally among the entries
// that have been listed for long enough that the lists of all others contain them.
//
// The list of an entry that has lost the store and its siblings is old, and others may have replaced it. Its
// part is 0 until its list is confirmed again.
//
// # Why the parts add up
//
// Equal parts: an entry uses one only while its list was confirmed within maxListAge, and after it has been
// listed for a window, maxListAge and SettleTime. Each entry that uses one in a window was thus listed before
// any list in use was confirmed, or has left it within that time, and is counted by all. An entry whose list
// was not confirmed for so long that it may have missed a process altogether begins anew.
//
// Parts by rank: ranks of listed entries differ, since an entry that finds itself on the list knows all
// registrations before its own. An entry that was removed may use its part for maxListAge more, and one that
// ended may have used it within the window, while an entry that started after the removal has the same rank.
// A registration lasts for RegistrationTTL after its entry was last heard of, so that no more than three
// entries use the part of one rank within a window, and all parts by rank add up to a third of that quarter.
//
// # Usage
//
//	di := share.New(self, list, replicaAge)
//	di.Observe(now) // several times a second
//	part := slack * di.Part(now, window)
package share

import (
	"math"
	"sync"
	"time"

	"skylarkstand/core"
)

const (
	// maxListAge is the age of the list up to which an entry takes a part.
	maxListAge = 5 * time.Second
	// SettleTime is how long after it was granted something may still take effect elsewhere.
	SettleTime = 3 * time.Second
	// maxGap is the time between two confirmations of the list in which no process can have joined and left
	// it: less than RegistrationTTL.
	maxGap = 10 * time.Second
	// cacheTime is how long a computed part is used.
	cacheTime = 100 * time.Millisecond
	// RegistrationTTL is the least time that an entry stays listed after it was last heard of.
	RegistrationTTL = 12 * time.Second
	// equalShare is the fraction of the allowance that is divided equally. The first rank has firstRank of it,
	// and each other one half of the one before, so that all of them have twice as much.
	equalShare = 0.75
	firstRank  = (1 - equalShare) / usesOfRank / 2
	// usesOfRank is how many entries may use the part of one rank within a window.
	usesOfRank = 3
)

// List is the list of entries as this entry knows it.
type List interface {
	// Standing returns an entry's place in the list, with the entries that have left it within a span.
	Standing(now time.Time, self core.ProcessID, span time.Duration) Standing
}

// Divider returns this entry's part. It is safe for concurrent use.
type Divider struct {
	self core.ProcessID
	list List
	age  func(now time.Time) time.Duration

	mu sync.Mutex
	// freshSince is since when the list has been confirmed at least every maxGap, and observedAt when this was
	// last checked.
	freshSince, observedAt time.Time
	// part was computed at partAt, for a window.
	part   float64
	partAt time.Time
	window time.Duration
}

// New returns a Divider. age returns the time since the list was last confirmed up to date.
func New(self core.ProcessID, list List, age func(now time.Time) time.Duration) *Divider {
	return &Divider{self: self, list: list, age: age}
}

// Observe records whether the list is up to date. It must be called several times within [maxListAge].
func (di *Divider) Observe(now time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.observe(now)
}

func (di *Divider) observe(now time.Time) (fresh bool) {
	age := di.age(now)
	if max(age, now.Sub(di.observedAt)) > maxGap {
		di.freshSince = now
	}
	di.observedAt = now
	return age <= maxListAge
}

// Listed reports whether this entry has found itself on the list.
func (di *Divider) Listed(now time.Time) bool { return di.list.Standing(now, di.self, 0).Listed }

// Part returns this entry's part of an allowance over any span of a window, from 0 to 1.
func (di *Divider) Part(now time.Time, window time.Duration) float64 {
	di.mu.Lock()
	defer di.mu.Unlock()
	if !di.observe(now) {
		return 0
	}
	if di.part == 0 || window != di.window || now.Sub(di.partAt) >= cacheTime {
		di.part, di.partAt, di.window = di.compute(now, window), now, window
	}
	return di.part
}

func (di *Divider) compute(now time.Time, window time.Duration) float64 {
	span := window + maxListAge + SettleTime
	st := di.list.Standing(now, di.self, span)
	if !st.Listed {
		return 0
	}
	part := 0.0
	if window <= RegistrationTTL {
		part = math.Ldexp(firstRank, -st.Rank)
	}
	if now.Sub(st.Since) >= span && now.Sub(di.freshSince) >= span {
		part += equalShare / float64(st.Entries)
	}
	return part
}
