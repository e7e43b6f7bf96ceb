package session

import (
	"maps"
	"sync"
	"time"

	"skylarkstand/core"
)

// Key identifies a session within its workspace.
type Key struct {
	Workspace core.WorkspaceID
	Session   core.SessionID
}

// Versions are the versions that a session runs on, by model.
type Versions map[core.ModelID]core.VersionID

const (
	// idleTTL is how long an unused session is kept. It is longer than the pauses within a working
	// day; a session that returns later starts anew, as after any end of a session.
	idleTTL = 12 * time.Hour
	// maxSessions bounds memory: at 500 bytes a session it is 33 MB. An entry is a preferred holder
	// for twice its region's sessions divided by the region's entries. When it is full, the older
	// half is evicted.
	maxSessions = 65_536
)

// Holder stores the versions of sessions whose callers send an id and no token. It is safe for
// concurrent use.
type Holder struct {
	mu       sync.Mutex
	sessions map[Key]storedSession
	limit    int
}

type storedSession struct {
	versions Versions
	lastUsed time.Time
}

// HolderOption configures a Holder.
type HolderOption func(*Holder)

// Limit bounds the number of sessions.
func Limit(n int) HolderOption { return func(ho *Holder) { ho.limit = n } }

// NewHolder returns an empty holder.
func NewHolder(opts ...HolderOption) *Holder {
	ho := &Holder{sessions: map[Key]storedSession{}, limit: maxSessions}
	for _, opt := range opts {
		opt(ho)
	}
	return ho
}

// Find returns a session's versions, or nil if it is unknown or expired.
func (ho *Holder) Find(key Key, now time.Time) Versions {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	se, ok := ho.sessions[key]
	if !ok || now.Sub(se.lastUsed) > idleTTL {
		return nil
	}
	se.lastUsed = now
	ho.sessions[key] = se
	return maps.Clone(se.versions)
}

// Record records the versions that a session runs on, model by model. The latest one is
// authoritative: a version changes only when the old one may not run any more, and every entry
// refuses to run the old one.
func (ho *Holder) Record(key Key, vs Versions, now time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	se, ok := ho.sessions[key]
	if !ok && len(ho.sessions) >= ho.limit {
		ho.evict(now)
	}
	all := maps.Clone(se.versions)
	if all == nil {
		all = Versions{}
	}
	maps.Copy(all, vs)
	ho.sessions[key] = storedSession{versions: all, lastUsed: now}
}

// evict removes the sessions that have been unused for the longest time: all that have been unused
// for at least half of the longest time, so that one pass frees about half.
func (ho *Holder) evict(now time.Time) {
	var oldest time.Duration
	for _, se := range ho.sessions {
		oldest = max(oldest, now.Sub(se.lastUsed))
	}
	for key, se := range ho.sessions {
		if now.Sub(se.lastUsed) >= oldest/2 {
			delete(ho.sessions, key)
		}
	}
}
