package declare

import (
	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Region is a declared region.
type Region struct {
	cf *Configuration
	id core.Region
}

// Region declares a region with its availability zones.
func (cf *Configuration) Region(id core.Region, zones ...core.Zone) Region {
	for _, zo := range zones {
		cf.zones = append(cf.zones, &declaration.AvailabilityZone{ID: zo, Region: id})
	}
	return Region{cf, id}
}

// Evacuate keeps new work from one of the region's zones.
func (re Region) Evacuate(zone core.Zone, reason string) {
	for _, zo := range re.cf.zones {
		if zo.ID == zone && zo.Region == re.id {
			zo.Evacuated = reason
			return
		}
	}
	// A zone of no region is a mistake that the check of the document names.
	re.cf.zones = append(re.cf.zones, &declaration.AvailabilityZone{ID: zone, Evacuated: reason})
}

// Regions binds the workspace's requests to regions.
func (ws *Workspace) Regions(res ...Region) *Workspace {
	for _, re := range res {
		ws.ws.Regions = append(ws.ws.Regions, re.id)
	}
	return ws
}
