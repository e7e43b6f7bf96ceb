package declaration

import (
	"fmt"
	"slices"

	"skylarkstand/core"
)

// AvailabilityZone is an availability zone with its region.
type AvailabilityZone struct {
	// ID is the zone's name, as hosts announce it.
	ID core.Zone `json:"id"`
	// Region is the region that contains the zone.
	Region core.Region `json:"region"`
	// Evacuated is the reason why the zone gets no new work. If omitted, the zone
	// is not evacuated; an empty reason is rejected.
	Evacuated string `json:"evacuated,omitempty" jsonschema:"minLength=1"`
}

// Evacuate returns a copy of the document in which a zone is evacuated for a
// reason, or in which its evacuation ends if the reason is empty. It reports
// false if the zone is not declared.
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

// AcceptEvacuationEnd returns the entry of accept-risks that allows a zone's evacuation to
// end.
func AcceptEvacuationEnd(id core.Zone, reason string) AcceptRisk {
	return AcceptRisk{Rule: string(EvacuationLifted), Place: evacuationPlace(id), Reason: reason}
}

func evacuationPlace(id core.Zone) string { return fmt.Sprintf("zones[%s].evacuated", id) }

// MayPlace reports whether new work of a workspace may be sent to a host: the
// workspace allows the host's region, and the host's zone is not evacuated.
func (sn *Snapshot) MayPlace(ws core.WorkspaceID, ho core.Host) bool {
	return !sn.evacuated[ho.Zone] && sn.regions[ws].Allows(ho.Region)
}

// Evacuated reports whether a zone is evacuated, so that it gets no new work.
func (sn *Snapshot) Evacuated(id core.Zone) bool { return sn.evacuated[id] }

func (ch *checker) zones() {
	for _, zo := range ch.doc.Zones {
		if reason := nameProblem(string(zo.Region)); reason != "" {
			ch.add(BadName, fmt.Sprintf("zones[%s].region", zo.ID), reason, "name the region that contains the zone")
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
		ch.add(NoZoneLeft, place+".regions", fmt.Sprintf("all zones in the regions of the workspace (%s) are evacuated, so its requests would be rejected", allowed), "end one of the evacuations")
	}
}

// evacuations reports evacuations that the change would end. A file written before
// the evacuation, or an old generation that is restored, ends it without its
// author's knowledge.
func (ch *change) evacuations() {
	for _, old := range ch.from.Doc.Zones {
		if old.Evacuated != "" && !ch.to.Evacuated(old.ID) {
			ch.add(EvacuationLifted, evacuationPlace(old.ID), fmt.Sprintf("the zone is evacuated (%s) and would get work again", old.Evacuated),
				fmt.Sprintf("keep \"evacuated\": %q, or end it by: skylarkstand evacuate %s --end", old.Evacuated, old.ID))
		}
	}
}

// regions reports a workspace whose requests could leave the regions to which they
// were restricted.
func (ch *change) regions(old, ws *Workspace, place string) {
	was, now := core.OnlyRegions(old.Regions...), core.OnlyRegions(ws.Regions...)
	if was.Restricted() && was.Intersect(now) != now {
		ch.add(RegionsWidened, place+".regions", fmt.Sprintf("requests were restricted to %s and could be served in %s", was, now), "keep the regions")
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
		ef.onWorkspace(ws.ID, "requests may be served in %s (before: %s)", now, was)
	}
}
