package declare

import (
	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Region is a handle to a declared region.
type Region struct {
	cf *Configuration
	id core.Region
}

// Region declares a region with its availability zones. A region without zones cannot
// be used by [Workspace.Regions].
func (cf *Configuration) Region(id core.Region, zones ...core.Zone) Region {
	for _, zo := range zones {
		cf.zones = append(cf.zones, &declaration.AvailabilityZone{ID: zo, Region: id})
	}
	return Region{cf, id}
}

// Evacuate stops new work in one of the region's zones. An empty reason means that the
// zone is not evacuated. A zone that the region does not have is reported by
// [Configuration.Print].
func (re Region) Evacuate(zone core.Zone, reason string) {
	for _, zo := range re.cf.zones {
		if zo.ID == zone && zo.Region == re.id {
			zo.Evacuated = reason
			return
		}
	}
	// Print reports a zone without a region as a mistake.
	re.cf.zones = append(re.cf.zones, &declaration.AvailabilityZone{ID: zone, Evacuated: reason})
}

// Regions restricts the workspace's requests to regions. Without it, all regions are
// allowed. It returns the workspace.
func (ws *Workspace) Regions(res ...Region) *Workspace {
	for _, re := range res {
		ws.ws.Regions = append(ws.ws.Regions, re.id)
	}
	return ws
}
