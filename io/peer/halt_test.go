package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/rollout"
	"skylarkstand/core/suspect"
	"skylarkstand/io/peer"
)

// entry is the mesh of one entry and its roll-out guard.
type entry struct {
	host core.Host
	gu   *rollout.Guard
	mesh *peer.Mesh
}

func startEntry(ctx context.Context, t *testing.T, zone core.Zone) *entry {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gen := &declaration.Generation{Number: 1, Document: declaration.Document{
		Models:   []declaration.Model{{ID: "desk", Stable: "v1", Versions: []declaration.Version{{ID: "v1", Quality: 0.9}, {ID: "v2", Quality: 0.9}}}},
		RollOuts: []declaration.RollOut{{Model: "desk", Version: "v2", Percent: 20}},
	}}
	raw, err := gen.Encode()
	assert.NilError(t, err)
	inf := declaration.NewInForce()
	_, err = inf.Adopt(raw)
	assert.NilError(t, err)
	en := &entry{host: core.Host{Role: core.RoleEntry, Addr: li.Addr().String(), Zone: zone, Region: "muc"}, gu: rollout.New()}
	en.gu.Apply(inf.Current())
	en.mesh = peer.New(core.NewDeps(), inf, suspect.New(), en.host, peer.Guard(en.gu))
	go func() { _ = en.mesh.Serve(ctx, li) }()
	return en
}

// The store is unavailable, and two entries serve callers. Neither has enough evidence against a
// bad version to halt it, but both together have. The entry that pools the evidence halts the
// version, and the other receives the halt over the link alone, so that neither gives the version
// to callers any more.
func TestPooledHaltWithoutStore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	one, two := startEntry(ctx, t, "muc-a"), startEntry(ctx, t, "muc-b")
	home, ok := rollout.Home("desk", []core.Host{one.host, two.host})
	assert.Assert(t, ok)
	if home.Addr != one.host.Addr {
		one, two = two, one
	}
	bad := core.ModelVersion{Model: "desk", Version: "v2"}
	for _, en := range []*entry{one, two} {
		for i := range 40 { // 8 answers of v2, of which 3 are bad.
			mv := core.ModelVersion{Model: "desk", Version: "v1"}
			if i%5 == 4 {
				mv = bad
			}
			en.gu.Observe(rollout.Outcome{Version: mv, Kind: rollout.Rating, Bad: mv == bad && i < 15})
		}
		assert.Assert(t, !en.gu.Halted(bad))
	}
	one.gu.MergeBatch(one.gu.TakeBatches()[0])
	assert.Assert(t, !one.gu.Halted(bad))
	sent := two.gu.TakeBatches()[0]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := two.mesh.SendEvidence(ctx, home, sent); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.Assert(t, one.gu.Halted(bad))
	one.mesh.BroadcastHalt(one.gu.PendingHalts()[0], 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !two.gu.Halted(bad) {
			return poll.Continue("the halt has not arrived yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}
