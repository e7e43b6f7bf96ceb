package session

import (
	"maps"
	"sync"
	"time"

	"skylarkstand/core"
)

// Key names a session within its workspace.
type Key struct {
	Workspace core.WorkspaceID
	Session   core.SessionID
}

// Versions are what a session runs on, by model.
type Versions map[core.ModelID]core.VersionID

const (
	// keptFor is how long a session that is not used is kept. It is above the
	// pauses within a working day, and a session that comes back later begins
	// anew, as after any end of a session.
	keptFor = 12 * time.Hour
	// maxSessions bounds memory: at the 500 bytes that were measured for a session it is 33 MB. An
	// entry is a preferred holder for its region's sessions divided by the
	// region's entries, twice. When it is full, the older half goes.
	maxSessions = 65_536
)

// Holder keeps the versions of sessions whose callers send an id and no token.
// It is safe for concurrent use.
type Holder struct {
	mu       sync.Mutex
	sessions map[Key]held
	limit    int
}

type held struct {
	versions Versions
	used     time.Time
}

// HolderOption changes a Holder at construction.
type HolderOption func(*Holder)

// Limit bounds the sessions.
func Limit(n int) HolderOption { return func(ho *Holder) { ho.limit = n } }

// NewHolder returns an empty holder.
func NewHolder(opts ...HolderOption) *Holder {
	ho := &Holder{sessions: map[Key]held{}, limit: maxSessions}
	for _, opt := range opts {
		opt(ho)
	}
	return ho
}

// Find returns a session's versions, or nil.
func (ho *Holder) Find(key Key, now time.Time) Versions {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	el, ok := ho.sessions[key]
	if !ok || now.Sub(el.used) > keptFor {
		return nil
	}
	el.used = now
	ho.sessions[key] = el
	return maps.Clone(el.versions)
}

// Keep notes what a session runs on, model by model. The newest word counts:
// a version changes only when the old one may not run any more, and every
// entry refuses to run that one.
func (ho *Holder) Keep(key Key, vs Versions, now time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	el, ok := ho.sessions[key]
	if !ok && len(ho.sessions) >= ho.limit {
		ho.evict(now)
	}
	all := maps.Clone(el.versions)
	if all == nil {
		all = Versions{}
	}
	maps.Copy(all, vs)
	ho.sessions[key] = held{versions: all, used: now}
}

// evict drops what was not used for the longest time: everything older than
// half of the oldest age, so that one pass frees about half.
func (ho *Holder) evict(now time.Time) {
	var oldest time.Duration
	for _, el := range ho.sessions {
		oldest = max(oldest, now.Sub(el.used))
	}
	for key, el := range ho.sessions {
		if now.Sub(el.used) >= oldest/2 {
			delete(ho.sessions, key)
		}
	}
}
