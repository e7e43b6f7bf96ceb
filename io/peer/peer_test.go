package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/session"
	"skylarkstand/core/suspect"
	"skylarkstand/io/peer"
)

// member is one entry of a small mesh.
type member struct {
	mesh *peer.Mesh
	inf  *declaration.InForce
	reg  *suspect.Registry
	host core.Host
	stop context.CancelFunc
}

// newMembers starts n entries of one availability zone.
func newMembers(t *testing.T, n int) []*member {
	t.Helper()
	var all []*member
	for range n {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		me := &member{inf: declaration.NewInForce(), reg: suspect.New()}
		me.host = core.Host{Role: core.RoleEntry, Addr: li.Addr().String(), Zone: "muc-a", Region: "muc"}
		me.mesh = peer.New(core.NewDeps(), me.inf, me.reg, me.host)
		ctx, cancel := context.WithCancel(context.Background())
		me.stop = cancel
		t.Cleanup(cancel)
		go func() { _ = me.mesh.Serve(ctx, li) }()
		all = append(all, me)
	}
	return all
}

// eventually waits until a condition that other goroutines establish holds; the limit only ends a
// test that would hang.
func eventually(t *testing.T, fn func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); !fn(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(limit), "the condition did not hold within 30 s")
	}
}

func update(all []*member) {
	var hosts []core.Host
	for _, me := range all {
		hosts = append(hosts, me.host)
	}
	for _, me := range all {
		me.mesh.Update(hosts)
	}
}

func adopt(t *testing.T, me *member, number core.Generation) {
	t.Helper()
	gen := declaration.Generation{Number: number}
	raw, err := gen.Encode()
	assert.NilError(t, err)
	_, err = me.inf.Adopt(raw)
	assert.NilError(t, err)
}

// The store is unavailable, one entry has a configuration and the others have just started. If the
// entry did not forward it, the others would refuse every caller until the store is available
// again.
func TestConfigurationPropagatesWithoutStore(t *testing.T) {
	all := newMembers(t, 5)
	adopt(t, all[3], 7)
	eventually(t, func() bool {
		update(all)
		for _, me := range all {
			if me.inf.Number() != 7 {
				return false
			}
		}
		return true
	})
}

// A request sent through one entry crashes an engine, and its caller retries through another.
// Unless that entry has received the record of the suspect, the retry crashes one more engine.
func TestSuspectsPropagate(t *testing.T) {
	all := newMembers(t, 4)
	adopt(t, all[0], 1)
	eventually(t, func() bool {
		update(all)
		return all[3].inf.Number() == 1 && all[2].inf.Number() == 1 && all[1].inf.Number() == 1
	})
	re := all[2].reg.RecordCrash(42, true, time.Now())
	all[2].mesh.BroadcastSuspect(re)
	for _, me := range all {
		eventually(t, func() bool { return me.reg.Lookup(42, time.Now()).State == suspect.Quarantined })
	}
}

// A caller sends its session id and no token, each time through another entry, and one entry is
// restarted in between. The session must stay on its version; otherwise one conversation would get
// answers of two versions.
func TestSessionStaysPinnedWithoutToken(t *testing.T) {
	all := newMembers(t, 5)
	update(all)
	key := session.Key{Workspace: "schools", Session: "s1"}
	all[0].mesh.Record(key, session.Versions{"desk": "v2"})
	for _, me := range all[1:] {
		eventually(t, func() bool { return me.mesh.Find(context.Background(), key)["desk"] == "v2" })
	}
	all[0].stop()
	update(all[1:])
	for _, me := range all[1:] {
		assert.Equal(t, me.mesh.Find(context.Background(), key)["desk"], core.VersionID("v2"))
	}
}
