package admission_test

import (
	"fmt"
	"time"

	"skylarkstand/core"
)

// The pools of the two users, with ten workspaces each, a few large.
func landesamt() situation {
	return shape([]site{{"muc-a", "muc", 8}, {"muc-b", "muc", 6}, {"nue-a", "nue", 4}}, 400, 30*time.Second)
}

func landesamtDesk() situation {
	return shape([]site{{"muc-a", "muc", 1}, {"muc-b", "muc", 1}, {"nue-a", "nue", 1}}, 80, 8*time.Second)
}

func association() situation {
	return shape([]site{{"sapporo-a", "doo-central", 5}, {"otaru-b", "doo-central", 4}, {"kushiro-a", "doto-east", 3}}, 150, 12*time.Second)
}

func associationOrders() situation {
	return shape([]site{{"sapporo-a", "doo-central", 1}, {"otaru-b", "doo-central", 1}, {"kushiro-a", "doto-east", 1}}, 20, 4*time.Second)
}

type namedShape struct {
	name string
	make func() situation
}

func shapes() []namedShape {
	return []namedShape{
		{"landesamt-drafter", landesamt}, {"landesamt-desk", landesamtDesk},
		{"association-lm", association}, {"association-orders", associationOrders},
	}
}

// shape is ten workspaces, three of them large, at the full capacity of the
// sites in sum.
func shape(sites []site, output float64, deadline time.Duration) situation {
	sit := situation{seed: 1, sites: sites, slots: 8, length: 4 * time.Minute, report: time.Second}
	for ix := range 10 {
		share := 1
		if ix < 3 {
			share = 4
		}
		sit.tenants = append(sit.tenants, tenant{
			id: core.WorkspaceID(fmt.Sprintf("w%d", ix)), share: share, prompt: 500, output: output, deadline: deadline,
		})
	}
	return sit.at(1)
}

// capacity is the requests a second that all upstreams can answer.
func (sit situation) capacity() float64 {
	slots := 0
	for _, st := range sit.sites {
		slots += st.upstreams * sit.slots
	}
	te := sit.tenants[0]
	return float64(slots) / (float64(te.prompt)*secondsPerPrompt + te.output*secondsPerToken)
}

// at returns the situation with the offered load at a multiple of the
// capacity, each workspace sending in proportion to its share.
func (sit situation) at(load float64) situation {
	shares, rate := 0, sit.capacity()*load
	for _, te := range sit.tenants {
		shares += te.share
	}
	tenants := make([]tenant, len(sit.tenants))
	for ix, te := range sit.tenants {
		te.rate = rate * float64(te.share) / float64(shares)
		tenants[ix] = te
	}
	sit.tenants = tenants
	return sit
}

// hog returns the situation with the last workspace sending ten times its share
// of the capacity.
func (sit situation) hog() situation {
	shares := 0
	for _, te := range sit.tenants {
		shares += te.share
	}
	last := len(sit.tenants) - 1
	sit.tenants = append([]tenant(nil), sit.tenants...)
	sit.tenants[last].rate = 10 * sit.capacity() * float64(sit.tenants[last].share) / float64(shares)
	return sit
}

// mixed gives every second workspace long work and the others short.
func (sit situation) mixed() situation {
	sit.tenants = append([]tenant(nil), sit.tenants...)
	for ix := range sit.tenants {
		te := &sit.tenants[ix]
		if ix%2 == 0 {
			te.output, te.rate = 4*te.output, te.rate/4
		} else {
			te.output, te.deadline = te.output/4, te.deadline/3
		}
	}
	return sit
}

func (sit situation) with(change func(*situation)) situation {
	change(&sit)
	return sit
}
