package canary

import (
	"slices"

	"skylarkstand/core"
)

// applyFinal records which version a finished roll-out leaves in use, unless that version was
// ordered again since.
func (gu *Guard) applyFinal(ro *rollout, st Status) {
	key := versionKey{st.Service, st.Target}
	if ro.order.Revision > st.Revision && ro.order.Target == st.Target {
		return
	}
	switch st.State {
	case Completed:
		gu.stable[st.Service], gu.completed[st.Service] = st.Target, st.Target
		delete(gu.withdrawn, key)
	case RolledBack:
		gu.withdrawn[key] = true
	case InProgress:
	}
}

// UnderRollOut reports whether a version is being rolled out: whether it is as fast as the old one is not known.
func (gu *Guard) UnderRollOut(sv core.ServiceID, ve core.VersionID) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	ro := gu.rollouts[sv]
	return ro != nil && ro.order.Revision != 0 && ve == ro.order.Target && !ro.final() && !ro.inPlace
}

// stableHosts narrows the candidates to the version that the service runs on beside one under
// roll-out. Upstreams of another version may be listed before the order for it arrives, and those
// of a withdrawn version until they have drained.
func (gu *Guard) stableHosts(sv core.ServiceID, ca Candidates) []core.Host {
	ready := gu.withoutWithdrawn(sv, ca.Ready)
	if len(ready) == 0 {
		return nil
	}
	if ve, ok := gu.stable[sv]; !ok || len(withVersion(ready, ve)) == 0 {
		gu.stable[sv] = mostCommon(ready)
	}
	return withVersion(ca.Eligible, gu.stable[sv])
}

// withoutWithdrawn returns the upstreams whose version is not withdrawn.
func (gu *Guard) withoutWithdrawn(sv core.ServiceID, hosts []core.Host) []core.Host {
	return filter(hosts, func(ho core.Host) bool { return !gu.withdrawn[versionKey{sv, ho.Version}] })
}

// mostCommon returns the version that most upstreams run.
func mostCommon(hosts []core.Host) core.VersionID {
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

func withVersion(hosts []core.Host, ve core.VersionID) []core.Host {
	return filter(hosts, func(ho core.Host) bool { return ho.Version == ve })
}

func withoutVersion(hosts []core.Host, ve core.VersionID) []core.Host {
	return filter(hosts, func(ho core.Host) bool { return ho.Version != ve })
}

// filter copies the slice only if an element is removed.
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

func firstNonEmpty(first, second []core.Host) []core.Host {
	if len(first) > 0 {
		return first
	}
	return second
}
