package main

import (
	"fmt"
	"maps"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"

	"skylarkstand/core"
	"skylarkstand/core/topology"
)

// Planned sizes at which strategies of propagation are compared.
const (
	plannedEntries = 360
	plannedAgents  = 12_000
	// entriesPerAgent is the number of entries that an agent is linked with if each entry links
	// with only some of the agents: enough that some remain if a rack is lost.
	entriesPerAgent = 8
	// gossipFanout is the number of peers to which a process sends a notice in a round of gossip,
	// gossipRound the time between rounds in seconds.
	gossipFanout = 3
	gossipRound  = 0.2
)

// strategy is a way of propagating a change to all agents.
type strategy struct {
	name string
	// links is the largest number of links of a process.
	links int
	// notices is the number of short messages with a generation's number, bodies the number of
	// copies of the document.
	notices, bodies float64
	hops            int
	// busiest is the largest number of bodies that a process sends.
	busiest float64
	// waitTime is the time spent waiting for rounds, in seconds.
	waitTime float64
}

// costs are the measured costs of one message: the sizes of a body and a notice in bytes, and the
// processor time to adopt and to send a body in seconds.
type costs struct{ body, notice, adopt, send float64 }

// strategies returns the current strategy and the ones it is compared with.
func strategies() []strategy {
	all := plannedEntries + plannedAgents
	rounds, notices := simulateGossip(all)
	degree := bits.Len(uint(all - 1))
	perEntry := (entriesPerAgent*plannedAgents + plannedEntries - 1) / plannedEntries
	return []strategy{
		{"two levels, all entries link with all agents (today)", plannedAgents, 2 * plannedEntries * plannedAgents, plannedAgents, 2, plannedAgents, 0},
		{fmt.Sprintf("two levels, %d entries an agent", entriesPerAgent), perEntry, 2 * entriesPerAgent * plannedAgents, plannedAgents, 2, float64(perEntry), 0},
		{fmt.Sprintf("gossip over all processes, %d told a round of %g s, body on demand", gossipFanout, gossipRound), gossipFanout * 2, notices, float64(all - 1), rounds, gossipFanout, float64(rounds) * gossipRound},
		{"hypercube over all processes (HyperCast)", degree, float64(all - 1), float64(all - 1), degree, float64(degree), 0},
	}
}

// simulateGossip simulates rounds in which each process that has the change sends a notice to
// gossipFanout random processes, until all have it. It returns the numbers of rounds and notices.
func simulateGossip(all int) (rounds int, notices float64) {
	rnd := rand.New(rand.NewPCG(1, 2))
	has := make([]bool, all)
	holders := []int{0}
	has[0] = true
	for len(holders) < all {
		rounds++
		for range len(holders) {
			for range gossipFanout {
				notices++
				if to := rnd.IntN(all); !has[to] {
					has[to] = true
					holders = append(holders, to)
				}
			}
		}
	}
	return rounds, notices
}

// compareStrategies formats the comparison at the planned size. Times are sums of measured costs: an
// adoption on each hop, the bodies that the busiest process sends one after the other, and the rounds
// waited for.
func (re *report) compareStrategies(workspaces float64) string {
	valueAt := func(name string, size float64) float64 {
		for _, sl := range re.slopes {
			if sl.name == name {
				return sl.fit.at(size)
			}
		}
		return math.NaN()
	}
	slopeOf := func(name string) float64 { return valueAt(name, 1) - valueAt(name, 0) }
	co := costs{
		body: valueAt("document-size", workspaces), adopt: valueAt("adoption-processor", workspaces),
		send: slopeOf("hand-on-processor-100"), notice: noticeBytes,
	}
	var sb strings.Builder
	fmt.Fprintf(&sb, "## Ways to hand a change on to %d entries and %s agents\n\n", plannedEntries, formatInteger(plannedAgents))
	fmt.Fprintf(&sb, "Computed for %g workspaces, from the measured costs of messages: a body of %s, a notice\nof %s, %s to adopt a body and %s to send one.\n\n", workspaces,
		quantity{co.body, byteCount}, quantity{co.notice, byteCount}, quantity{co.adopt, coreSeconds}, quantity{co.send, coreSeconds})
	sb.WriteString("| way | links a process | notices | bodies | bytes in all | hops | bodies of the busiest | processor time of the busiest | time |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, st := range strategies() {
		busiest := st.busiest * co.send
		took := float64(st.hops)*co.adopt + busiest + st.waitTime
		fmt.Fprintf(&sb, "| %s | %s | %s | %s | %s | %d | %s | %s | %s |\n", st.name, formatNumber(float64(st.links)), formatNumber(st.notices), formatNumber(st.bodies),
			quantity{st.bodies*co.body + st.notices*co.notice, byteCount}, st.hops, formatNumber(st.busiest), quantity{busiest, coreSeconds}, quantity{took, seconds})
	}
	return sb.String()
}

// describePeerLinks formats the numbers of links between entries that core/topology selects at the
// planned size.
func describePeerLinks() string {
	const zones, regions = 16, 5
	var hosts []core.Host
	for i := range plannedEntries {
		zone := i % zones
		hosts = append(hosts, core.Host{
			Role: core.RoleEntry, Addr: fmt.Sprintf("10.0.%d.%d:9100", i>>8, i&255),
			Zone: core.Zone(fmt.Sprintf("zone-%d", zone)), Region: core.Region(fmt.Sprintf("region-%d", zone%regions)),
		})
	}
	linkCounts := map[string]int{}
	total, crossRegion := 0, 0
	for _, ho := range hosts {
		for _, pe := range topology.Peers(hosts, ho) {
			linkCounts[ho.Addr]++
			linkCounts[pe.Addr]++
			total++
			if pe.Region != ho.Region {
				crossRegion++
			}
		}
	}
	counts := slices.Sorted(maps.Values(linkCounts))
	return fmt.Sprintf("## Links between entries at %d entries, %d zones, %d regions\n\nComputed by core/topology: %s links in all, %s of them between regions; an entry holds\n%d at least, %d at the median, %d at most.\n",
		plannedEntries, zones, regions, formatInteger(int64(total)), formatInteger(int64(crossRegion)), counts[0], counts[len(counts)/2], counts[len(counts)-1])
}

// noticeBytes is the size of a notice on a link: the 12-byte header of a yamux frame, and up to 14
// bytes of the message with its length.
const noticeBytes = 12 + 14
