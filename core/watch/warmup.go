package watch

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/warmup"
)

// updateWarmup starts the warm-up of an upstream that has started or is cold again, or
// updates its remaining warm-up time.
func (ha *Handler) updateWarmup(now time.Time, ch core.Change, old core.Host, known bool, ho core.Host) {
	// The end of an evacuation has already started the warm-up of a restored upstream.
	coldAgain := old.Warming == 0 && ho.Warming != 0 && !ha.restored[ho.ID]
	delete(ha.restored, ho.ID)
	switch {
	case !known || old.StartedAt != ho.StartedAt || coldAgain:
		ha.startWarmup(now, ch, ho, ho.Warming)
	case old.Warming != ho.Warming:
		ha.ta.Warmup.SetRemaining(now, ho.ID, ho.Warming)
	}
}

// markZoneCold starts the warm-up of all upstreams of a zone, which had no work while the
// zone was evacuated.
func (ha *Handler) markZoneCold(now time.Time, ch core.Change, zo core.Zone) {
	for id, ho := range ha.hosts {
		if ho.Zone == zo {
			ha.restored[id] = true
			ha.startWarmup(now, ch, ho, core.WarmingUnknown)
		}
	}
}

func (ha *Handler) startWarmup(now time.Time, ch core.Change, ho core.Host, coldFor time.Duration) {
	no := warmup.Notice{Upstream: ho.ID, ColdFor: coldFor, Entries: ha.permitHolders(ho.Region), Exact: !ch.Skipped}
	ha.ta.Warmup.Started(now, no)
	if coldFor != 0 {
		event.Log(ha.deps.Log, event.UpstreamCold, "upstream", ho.ID, "cold-for", coldFor, "entries", len(no.Entries), "exact", no.Exact, "revision", ch.Revision)
	}
}

// permitHolders lists the entries that share the permits of an upstream: those of its
// region, or all entries if the region has none.
func (ha *Handler) permitHolders(re core.Region) []core.ProcessID {
	if cached, ok := ha.holders[re]; ok {
		return cached
	}
	var inRegion, all []core.ProcessID
	for _, me := range ha.Members() {
		all = append(all, me.ID)
		if ha.ta.Regions[me.Zone] == re {
			inRegion = append(inRegion, me.ID)
		}
	}
	if len(inRegion) == 0 {
		inRegion = all
	}
	ha.holders[re] = inRegion
	return inRegion
}
