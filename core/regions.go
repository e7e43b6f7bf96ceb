package core

import (
	"slices"
	"strings"
)

// Regions is the set of regions that may serve a request. The zero value allows all regions. Values
// are comparable.
type Regions struct {
	restricted bool
	// list holds the sorted names, with a separator before and after each.
	list string
}

// separator is a character that does not occur in the name of a region.
const separator = "\x00"

// OnlyRegions returns a restriction to the named regions. Without names, all regions are allowed.
func OnlyRegions(names ...Region) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	return restricted(names)
}

func restricted(names []Region) Regions {
	names = slices.Clone(names)
	slices.Sort(names)
	re := Regions{restricted: true, list: separator}
	for _, name := range slices.Compact(names) {
		re.list += string(name) + separator
	}
	return re
}

// Restricted reports whether only the listed regions are allowed.
func (re Regions) Restricted() bool { return re.restricted }

// Names lists the allowed regions; nil if all regions are allowed.
func (re Regions) Names() []Region {
	var out []Region
	for name := range strings.SplitSeq(re.list, separator) {
		if name != "" {
			out = append(out, Region(name))
		}
	}
	return out
}

// Allows reports whether a region may serve the request.
func (re Regions) Allows(name Region) bool {
	return !re.restricted || strings.Contains(re.list, separator+string(name)+separator)
}

// Intersect returns the regions that both sets allow, which may be none.
func (re Regions) Intersect(other Regions) Regions {
	if !re.restricted {
		return other
	}
	return restricted(slices.DeleteFunc(re.Names(), func(name Region) bool { return !other.Allows(name) }))
}

// String implements fmt.Stringer.
func (re Regions) String() string {
	names := re.Names()
	switch {
	case !re.restricted:
		return "any"
	case len(names) == 0:
		return "none"
	}
	out := make([]string, len(names))
	for i, name := range names {
		out[i] = string(name)
	}
	return strings.Join(out, ", ")
}
