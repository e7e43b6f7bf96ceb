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
	"skylarkstand/core/spread"
)

// The sizes that the ways of handing on are weighed at.
const (
	entriesAtSize = 360
	agentsAtSize  = 12_000
	// subset is the entries that an agent has links with, if entries hold
	// links to a part of the agents only: enough that a lost rack leaves some.
	subset = 8
	// pushes is how many peers a process of the gossip tells in a round, and
	// gossipRound the time between rounds.
	pushes      = 3
	gossipRound = 0.2
)

// way is one way for a change to reach all agents.
type way struct {
	name string
	// links is how many links a process holds, at most.
	links int
	// notices are the short messages with a generation's number, bodies the
	// copies of the document that are needed.
	notices, bodies float64
	hops            int
	// busiest is how many bodies one process sends, at most, on the way.
	busiest float64
	// wait is time spent waiting for rounds, in seconds.
	wait float64
}

// costs are what the slopes say of one message.
type costs struct{ body, notice, adopt, send float64 }

func ways() []way {
	all := entriesAtSize + agentsAtSize
	rounds, told := gossip(all)
	degree := bits.Len(uint(all - 1))
	perEntry := (subset*agentsAtSize + entriesAtSize - 1) / entriesAtSize
	return []way{
		{"two levels, all entries link with all agents (today)", agentsAtSize, 2 * entriesAtSize * agentsAtSize, agentsAtSize, 2, agentsAtSize, 0},
		{fmt.Sprintf("two levels, %d entries an agent", subset), perEntry, 2 * subset * agentsAtSize, agentsAtSize, 2, float64(perEntry), 0},
		{fmt.Sprintf("gossip over all processes, %d told a round of %g s, body on demand", pushes, gossipRound), pushes * 2, told, float64(all - 1), rounds, pushes, float64(rounds) * gossipRound},
		{"hypercube over all processes (HyperCast)", degree, float64(all - 1), float64(all - 1), degree, float64(degree), 0},
	}
}

// gossip plays rounds in which each process that has the change tells a few
// others at random, until all have it, and counts rounds and notices.
func gossip(all int) (rounds int, told float64) {
	rnd := rand.New(rand.NewPCG(1, 2))
	has := make([]bool, all)
	holders := []int{0}
	has[0] = true
	for len(holders) < all {
		rounds++
		for range len(holders) {
			for range pushes {
				told++
				if to := rnd.IntN(all); !has[to] {
					has[to] = true
					holders = append(holders, to)
				}
			}
		}
	}
	return rounds, told
}

// weighSpread writes the comparison at the planned size. Times are a sum of
// what was measured: an adoption on each hop, the bodies that the busiest
// process sends one after the other, and the rounds waited for.
func (re *report) weighSpread(workspaces float64) string {
	at := func(name string, size float64) float64 {
		for _, sl := range re.slopes {
			if sl.name == name {
				return sl.fit.at(size)
			}
		}
		return math.NaN()
	}
	by := func(name string) float64 { return at(name, 1) - at(name, 0) }
	co := costs{
		body: at("document-size", workspaces), adopt: at("adoption-processor", workspaces),
		send: by("hand-on-processor-100"), notice: noticeBytes,
	}
	var sb strings.Builder
	fmt.Fprintf(&sb, "## Ways to hand a change on to %d entries and %s agents\n\n", entriesAtSize, grouped(agentsAtSize))
	fmt.Fprintf(&sb, "Computed for %g workspaces, from the measured costs of messages: a body of %s, a notice\nof %s, %s to adopt a body and %s to send one.\n\n", workspaces,
		quantity{co.body, bytesOf}, quantity{co.notice, bytesOf}, quantity{co.adopt, coreSeconds}, quantity{co.send, coreSeconds})
	sb.WriteString("| way | links a process | notices | bodies | bytes in all | hops | bodies of the busiest | processor time of the busiest | time |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, wa := range ways() {
		busiest := wa.busiest * co.send
		took := float64(wa.hops)*co.adopt + busiest + wa.wait
		fmt.Fprintf(&sb, "| %s | %s | %s | %s | %s | %d | %s | %s | %s |\n", wa.name, digits(float64(wa.links)), digits(wa.notices), digits(wa.bodies),
			quantity{wa.bodies*co.body + wa.notices*co.notice, bytesOf}, wa.hops, digits(wa.busiest), quantity{busiest, coreSeconds}, quantity{took, seconds})
	}
	return sb.String()
}

// weighPeers tells how many links entries hold among themselves at the
// planned size, by core/spread.
func weighPeers() string {
	const zones, regions = 16, 5
	var hosts []core.Host
	for i := range entriesAtSize {
		zone := i % zones
		hosts = append(hosts, core.Host{
			Role: core.RoleEntry, Addr: fmt.Sprintf("10.0.%d.%d:9100", i>>8, i&255),
			Zone: core.Zone(fmt.Sprintf("zone-%d", zone)), Region: core.Region(fmt.Sprintf("region-%d", zone%regions)),
		})
	}
	held := map[string]int{}
	total, abroad := 0, 0
	for _, ho := range hosts {
		for _, pe := range spread.Peers(hosts, ho) {
			held[ho.Addr]++
			held[pe.Addr]++
			total++
			if pe.Region != ho.Region {
				abroad++
			}
		}
	}
	counts := slices.Sorted(maps.Values(held))
	return fmt.Sprintf("## Links between entries at %d entries, %d zones, %d regions\n\nComputed by core/spread: %s links in all, %s of them between regions; an entry holds\n%d at least, %d at the median, %d at most.\n",
		entriesAtSize, zones, regions, grouped(int64(total)), grouped(int64(abroad)), counts[0], counts[len(counts)/2], counts[len(counts)-1])
}

// noticeBytes is a notice on a link: the header of a yamux frame, and up to 14
// bytes of the message with its length.
const noticeBytes = 12 + 14
