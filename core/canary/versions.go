package canary

import (
	"slices"

	"skylarkstand/core"
)

// ended notes which version a finished roll-out leaves in use, unless it was
// ordered again since.
func (gu *Guard) ended(ro *rollout, st Status) {
	key := versionKey{st.Service, st.Target}
	if ro.order.Revision > st.Revision && ro.order.Target == st.Target {
		return
	}
	switch st.State {
	case Completed:
		gu.stable[st.Service] = st.Target
		delete(gu.withdrawn, key)
	case RolledBack:
		gu.withdrawn[key] = true
	case InProgress:
	}
}

// known narrows to the version that the service runs on beside one under
// roll-out: upstreams of another version may be listed before the order for it
// is known, and those of a withdrawn one until they have drained.
func (gu *Guard) known(sv core.ServiceID, ca Candidates) []core.Host {
	ready := gu.allowed(sv, ca.Ready)
	if len(ready) == 0 {
		return nil
	}
	if ve, ok := gu.stable[sv]; !ok || len(only(ready, ve)) == 0 {
		gu.stable[sv] = most(ready)
	}
	return only(ca.Eligible, gu.stable[sv])
}

// allowed leaves out the upstreams of withdrawn versions.
func (gu *Guard) allowed(sv core.ServiceID, hosts []core.Host) []core.Host {
	return filter(hosts, func(ho core.Host) bool { return !gu.withdrawn[versionKey{sv, ho.Version}] })
}

// most returns the version that most upstreams run.
func most(hosts []core.Host) core.VersionID {
	count := map[core.VersionID]int{}
	best := hosts[0].Version
	for i := range hosts {
		ve := hosts[i].Version
		count[ve]++
		if count[ve] > count[best] {
			best = ve
		}
	}
	return best
}

func only(hosts []core.Host, ve core.VersionID) []core.Host {
	return filter(hosts, func(ho core.Host) bool { return ho.Version == ve })
}

func except(hosts []core.Host, ve core.VersionID) []core.Host {
	return filter(hosts, func(ho core.Host) bool { return ho.Version != ve })
}

// filter copies only when something is left out.
func filter(hosts []core.Host, keep func(core.Host) bool) []core.Host {
	if !slices.ContainsFunc(hosts, func(ho core.Host) bool { return !keep(ho) }) {
		return hosts
	}
	var out []core.Host
	for _, ho := range hosts {
		if keep(ho) {
			out = append(out, ho)
		}
	}
	return out
}

func prefer(first, second []core.Host) []core.Host {
	if len(first) > 0 {
		return first
	}
	return second
}
