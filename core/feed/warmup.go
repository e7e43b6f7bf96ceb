package feed

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/event"
	"skylarkstand/core/warmup"
)

// warm tells the warm-up of an upstream's line: of a start, of one that is cold
// again, or of how long it stays cold.
func (fd *Feed) warm(now time.Time, ch core.Change, old core.Host, known bool, ho core.Host) {
	// One that is back from an evacuation was taken for cold already.
	again := old.Warming == 0 && ho.Warming != 0 && !fd.restored[ho.ID]
	delete(fd.restored, ho.ID)
	switch {
	case !known || old.Born != ho.Born || again:
		fd.started(now, ch, ho, ho.Warming)
	case old.Warming != ho.Warming:
		fd.pa.Warmup.SetRemaining(now, ho.ID, ho.Warming)
	}
}

// coolZone takes the upstreams of a zone for cold, since they had no work.
func (fd *Feed) coolZone(now time.Time, ch core.Change, zo core.Zone) {
	for id, ho := range fd.hosts {
		if ho.Zone == zo {
			fd.restored[id] = true
			fd.started(now, ch, ho, core.WarmingUnknown)
		}
	}
}

func (fd *Feed) started(now time.Time, ch core.Change, ho core.Host, coldFor time.Duration) {
	no := warmup.Notice{Upstream: ho.ID, ColdFor: coldFor, Entries: fd.permitHolders(ho.Region), Exact: !ch.Skipped}
	fd.pa.Warmup.Started(now, no)
	if coldFor != 0 {
		event.Log(fd.deps.Log, event.UpstreamCold, "upstream", ho.ID, "cold-for", coldFor, "entries", len(no.Entries), "exact", no.Exact, "revision", ch.Revision)
	}
}

// permitHolders lists the entries that share the permits of an upstream: those of its
// region, or all where that has none.
func (fd *Feed) permitHolders(re core.Region) []core.ProcessID {
	if kept, ok := fd.holders[re]; ok {
		return kept
	}
	var near, all []core.ProcessID
	for _, me := range fd.Members() {
		all = append(all, me.ID)
		if fd.pa.Regions[me.Zone] == re {
			near = append(near, me.ID)
		}
	}
	if len(near) == 0 {
		near = all
	}
	fd.holders[re] = near
	return near
}
