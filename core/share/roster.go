package share

import (
	"maps"
	"strings"
	"time"

	"skylarkstand/core"
)

// departureTTL is how long the departure of an entry is remembered. It bounds the span of
// [Roster.Standing].
const departureTTL = time.Minute

// Roster holds the registered entries, and those that have left lately. It must be used by one goroutine at
// a time.
type Roster struct {
	listed, departed map[core.ProcessID]registration
}

// registration is the registration of an entry.
type registration struct {
	revision core.Revision
	// at is when the registration was received, or its removal.
	at time.Time
}

// Standing is the place of an entry in the list.
type Standing struct {
	// Listed is whether the entry is on the list, and Since is since when.
	Listed bool
	Since  time.Time
	// Rank counts the entries that were registered before it, and Entries all of them. Both include those
	// that have left the list within a span.
	Rank, Entries int
}

// NewRoster returns an empty Roster.
func NewRoster() *Roster {
	return &Roster{listed: map[core.ProcessID]registration{}, departed: map[core.ProcessID]registration{}}
}

// Put records the registration of an entry at a revision.
func (ro *Roster) Put(now time.Time, id core.ProcessID, rev core.Revision) {
	delete(ro.departed, id)
	if old, ok := ro.listed[id]; !ok || old.revision != rev {
		ro.listed[id] = registration{rev, now}
	}
}

// Remove records that an entry has left the list.
func (ro *Roster) Remove(now time.Time, id core.ProcessID) {
	if re, ok := ro.listed[id]; ok {
		ro.departed[id] = registration{re.revision, now}
	}
	delete(ro.listed, id)
	maps.DeleteFunc(ro.departed, func(_ core.ProcessID, re registration) bool { return now.Sub(re.at) > departureTTL })
}

// Standing returns an entry's place in the list, with the entries that have left it within a span.
func (ro *Roster) Standing(now time.Time, self core.ProcessID, span time.Duration) Standing {
	own, ok := ro.listed[self]
	if !ok {
		return Standing{}
	}
	st := Standing{Listed: true, Since: own.at, Entries: len(ro.listed)}
	for id, re := range ro.listed {
		if re.before(id, own, self) {
			st.Rank++
		}
	}
	for id, re := range ro.departed {
		if now.Sub(re.at) > span {
			continue
		}
		st.Entries++
		if re.before(id, own, self) {
			st.Rank++
		}
	}
	return st
}

// before orders registrations. Several entries may be registered in one revision.
func (re registration) before(id core.ProcessID, other registration, otherID core.ProcessID) bool {
	if re.revision != other.revision {
		return re.revision < other.revision
	}
	return strings.Compare(string(id), string(otherID)) < 0
}
