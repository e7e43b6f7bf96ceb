package core

import (
	"slices"
	"strings"
)

// Regions are the regions that a request may be served in. The zero value allows
// all. Values are comparable.
type Regions struct {
	restricted bool
	// list holds the names in order, with a separator around each.
	list string
}

// separator does not occur in the name of a region.
const separator = "\x00"

// OnlyRegions returns a restriction to the named regions. Without names nothing
// is restricted.
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

// Restricted reports whether any region is left out.
func (re Regions) Restricted() bool { return re.restricted }

// Names lists the allowed regions; nil when nothing is restricted.
func (re Regions) Names() []Region {
	var out []Region
	for name := range strings.SplitSeq(re.list, separator) {
		if name != "" {
			out = append(out, Region(name))
		}
	}
	return out
}

// Allows reports whether a request may be served in a region.
func (re Regions) Allows(name Region) bool {
	return !re.restricted || strings.Contains(re.list, separator+string(name)+separator)
}

// Intersect returns the regions that both allow, which may be none.
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
