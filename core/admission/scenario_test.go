package admission_test

import (
	"fmt"
	"time"

	"skylarkstand/core"
)

// landesamt is the larger pool of the first user, with ten workspaces, of which
// three are large. The scenarios below are the other pools of the two users.
func landesamt() scenario {
	return newScenario([]site{{"muc-a", "muc", 8}, {"muc-b", "muc", 6}, {"nue-a", "nue", 4}}, 400, 30*time.Second)
}

func landesamtDesk() scenario {
	return newScenario([]site{{"muc-a", "muc", 1}, {"muc-b", "muc", 1}, {"nue-a", "nue", 1}}, 80, 8*time.Second)
}

func association() scenario {
	return newScenario([]site{{"sapporo-a", "doo-central", 5}, {"otaru-b", "doo-central", 4}, {"kushiro-a", "doto-east", 3}}, 150, 12*time.Second)
}

func associationOrders() scenario {
	return newScenario([]site{{"sapporo-a", "doo-central", 1}, {"otaru-b", "doo-central", 1}, {"kushiro-a", "doto-east", 1}}, 20, 4*time.Second)
}

type poolShape struct {
	name string
	make func() scenario
}

func shapes() []poolShape {
	return []poolShape{
		{"landesamt-drafter", landesamt}, {"landesamt-desk", landesamtDesk},
		{"association-lm", association}, {"association-orders", associationOrders},
	}
}

// newScenario returns a scenario of ten workspaces, three of them large, whose
// total load equals the capacity of all sites.
func newScenario(sites []site, output float64, deadline time.Duration) scenario {
	sc := scenario{seed: 1, sites: sites, slots: 8, length: 4 * time.Minute, reportInterval: time.Second}
	for ix := range 10 {
		share := 1
		if ix < 3 {
			share = 4
		}
		sc.tenants = append(sc.tenants, tenant{
			id: core.WorkspaceID(fmt.Sprintf("w%d", ix)), share: share, prompt: 500, output: output, deadline: deadline,
		})
	}
	return sc.atLoad(1)
}

// capacity returns the number of requests per second that all upstreams together
// can answer.
func (sc scenario) capacity() float64 {
	slots := 0
	for _, st := range sc.sites {
		slots += st.upstreams * sc.slots
	}
	te := sc.tenants[0]
	return float64(slots) / (float64(te.prompt)*secondsPerPromptToken + te.output*secondsPerToken)
}

// atLoad returns the scenario with the offered load at a multiple of the capacity,
// divided among the workspaces by share.
func (sc scenario) atLoad(load float64) scenario {
	shares, rate := 0, sc.capacity()*load
	for _, te := range sc.tenants {
		shares += te.share
	}
	tenants := make([]tenant, len(sc.tenants))
	for ix, te := range sc.tenants {
		te.rate = rate * float64(te.share) / float64(shares)
		tenants[ix] = te
	}
	sc.tenants = tenants
	return sc
}

// withNoisyWorkspace returns the scenario with the last workspace sending ten times its share
// of the capacity.
func (sc scenario) withNoisyWorkspace() scenario {
	shares := 0
	for _, te := range sc.tenants {
		shares += te.share
	}
	last := len(sc.tenants) - 1
	sc.tenants = append([]tenant(nil), sc.tenants...)
	sc.tenants[last].rate = 10 * sc.capacity() * float64(sc.tenants[last].share) / float64(shares)
	return sc
}

// withMixedSizes returns the scenario with long responses for every second
// workspace and short ones for the others.
func (sc scenario) withMixedSizes() scenario {
	sc.tenants = append([]tenant(nil), sc.tenants...)
	for ix := range sc.tenants {
		te := &sc.tenants[ix]
		if ix%2 == 0 {
			te.output, te.rate = 4*te.output, te.rate/4
		} else {
			te.output, te.deadline = te.output/4, te.deadline/3
		}
	}
	return sc
}

func (sc scenario) with(change func(*scenario)) scenario {
	change(&sc)
	return sc
}
