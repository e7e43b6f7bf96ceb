package declaration

import (
	"fmt"
	"slices"

	"skylarkstand/core"
)

// AvailabilityZone is one with its region.
type AvailabilityZone struct {
	// ID is the zone's name, as hosts have it.
	ID core.Zone `json:"id"`
	// Region holds the zone.
	Region core.Region `json:"region"`
	// Evacuated is why the zone gets no new work. Left out, it does.
	Evacuated string `json:"evacuated,omitempty"`
}

// Evacuate returns a document in which a zone gets no new work for a reason, or
// takes it again where the reason is empty. It reports false for a zone that is
// not declared.
func (doc *Document) Evacuate(id core.Zone, reason string) (Document, bool) {
	i := slices.IndexFunc(doc.Zones, func(zo AvailabilityZone) bool { return zo.ID == id })
	if i < 0 {
		return Document{}, false
	}
	out := *doc
	out.Zones = slices.Clone(doc.Zones)
	out.Zones[i].Evacuated = reason
	return out, true
}

// AcceptEnd accepts the risk that a zone's evacuation ends, for a reason.
func AcceptEnd(id core.Zone, reason string) AcceptRisk {
	return AcceptRisk{Rule: string(EvacuationLifted), Place: evacuationPlace(id), Reason: reason}
}

func evacuationPlace(id core.Zone) string { return fmt.Sprintf("zones[%s].evacuated", id) }

// MayPlace reports whether new work of a workspace may go to a host: the workspace
// allows its region, and its zone is not evacuated.
func (sn *Snapshot) MayPlace(ws core.WorkspaceID, ho core.Host) bool {
	return !sn.evacuated[ho.Zone] && sn.regions[ws].Allows(ho.Region)
}

// Evacuated reports whether a zone gets no new work.
func (sn *Snapshot) Evacuated(id core.Zone) bool { return sn.evacuated[id] }

func (ch *checker) zones() {
	for _, zo := range ch.doc.Zones {
		if reason := unusable(string(zo.Region)); reason != "" {
			ch.add(BadName, fmt.Sprintf("zones[%s].region", zo.ID), reason, "name the region that holds the zone")
		}
	}
}

// regions checks the regions of a workspace against the declared zones.
func (ch *checker) regions(ws *Workspace, place string) {
	known := names(ch.doc.Zones, func(zo AvailabilityZone) core.Region { return zo.Region })
	for _, re := range ws.Regions {
		if !slices.Contains(known, string(re)) {
			ch.unknown(place+".regions", "region", string(re), slices.Compact(slices.Sorted(slices.Values(known))))
			return
		}
	}
	allowed := core.OnlyRegions(ws.Regions...)
	open := func(zo AvailabilityZone) bool { return zo.Evacuated == "" && allowed.Allows(zo.Region) }
	if len(ch.doc.Zones) > 0 && !slices.ContainsFunc(ch.doc.Zones, open) {
		ch.add(NoZoneLeft, place+".regions", fmt.Sprintf("all zones in the regions of the workspace (%s) are evacuated, so its requests would be turned away", allowed), "end one of the evacuations")
	}
}

// evacuations looks for zones that would get work again. A file written before the
// evacuation, or an old generation that comes back, does it without its author's
// knowledge.
func (ch *change) evacuations() {
	for _, old := range ch.from.Doc.Zones {
		if old.Evacuated != "" && !ch.to.Evacuated(old.ID) {
			ch.add(EvacuationLifted, evacuationPlace(old.ID), fmt.Sprintf("the zone is evacuated (%s) and would get work again", old.Evacuated),
				fmt.Sprintf("keep \"evacuated\": %q, or end it by: skylarkstand evacuate %s --end", old.Evacuated, old.ID))
		}
	}
}

// regions looks for workspaces whose requests may leave the regions that they were
// bound to.
func (ch *change) regions(old, ws *Workspace, place string) {
	was, now := core.OnlyRegions(old.Regions...), core.OnlyRegions(ws.Regions...)
	if was.Restricted() && was.Intersect(now) != now {
		ch.add(RegionsWidened, place+".regions", fmt.Sprintf("requests were bound to %s and may be served in %s", was, now), "keep the regions")
	}
}

func (di *differ) zone(old, zo *AvailabilityZone) {
	di.value("region", old.Region, zo.Region)
	switch {
	case old.Evacuated == zo.Evacuated:
	case zo.Evacuated == "":
		di.add("evacuation ended")
	default:
		di.add("evacuated: %s", zo.Evacuated)
	}
}

func (ef *effect) zone(zo *AvailabilityZone) {
	was, now := ef.from.Evacuated(zo.ID), zo.Evacuated != ""
	switch {
	case now && !was:
		ef.add("zone %s gets no new work: %s", zo.ID, zo.Evacuated)
	case was && !now:
		ef.add("zone %s gets work again", zo.ID)
	}
}

func (ef *effect) regions(old, ws *Workspace) {
	was, now := core.OnlyRegions(old.Regions...), core.OnlyRegions(ws.Regions...)
	if was != now {
		ef.on(ws.ID, "requests may be served in %s (before: %s)", now, was)
	}
}
