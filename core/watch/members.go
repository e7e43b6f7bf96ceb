package watch

import (
	"maps"
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/share"
)

// Standing implements [share.List].
func (ha *Handler) Standing(now time.Time, self core.ProcessID, span time.Duration) share.Standing {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	return ha.roster.Standing(now, self, span)
}

// Members lists the registered entries. Of several entries at one address it contains only
// the newest: the others have ended, although their leases last for some more seconds.
func (ha *Handler) Members() []Member {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	newest := map[string]Member{}
	out := make([]Member, 0, len(ha.members))
	for _, me := range ha.members {
		if me.Addr == "" {
			out = append(out, me)
			continue
		}
		if old, ok := newest[me.Addr]; !ok || old.Revision < me.Revision {
			newest[me.Addr] = me
		}
	}
	return slices.AppendSeq(out, maps.Values(newest))
}

// IsKnown reports whether the list of entries was received already.
func (ha *Handler) IsKnown() bool {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	return ha.received
}

// IsRegistered reports whether a process is listed.
func (ha *Handler) IsRegistered(id core.ProcessID) bool {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	_, ok := ha.members[id]
	return ok
}

// Registrations lists all registrations, including those of processes that were replaced at their
// address.
func (ha *Handler) Registrations() []Member {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	return slices.Collect(maps.Values(ha.members))
}

// EntryCount returns the number of registered entries. It includes entries that have ended but
// whose lease lasts, since their retries still count in the retry budget's window.
func (ha *Handler) EntryCount() int {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	return len(ha.members)
}
