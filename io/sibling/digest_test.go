package sibling

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/balance"
	"skylarkstand/core/replica"
)

// recordingConn records the datagrams that are sent.
type recordingConn struct {
	net.PacketConn
	sent [][]byte
}

func (rc *recordingConn) WriteTo(data []byte, _ net.Addr) (int, error) {
	rc.sent = append(rc.sent, data)
	return len(data), nil
}

// receivedGossip records the loads and digests that an entry receives.
type receivedGossip struct {
	Loads
	loads   []balance.Load
	digests []replica.Digest
}

func (rg *receivedGossip) ReceiveLoad(_ uint64, lo balance.Load) { rg.loads = append(rg.loads, lo) }

// fakeDigests provides an entry's digest and records received ones in a receivedGossip.
type fakeDigests struct{ pe *receivedGossip }

func (di fakeDigests) Digest(time.Time) replica.Digest { return replica.Digest{Revision: 7} }

func (di fakeDigests) ReceiveDigest(_ time.Time, got replica.Digest) {
	di.pe.digests = append(di.pe.digests, got)
}

// newTestGossiper returns a Gossiper and the record of what it receives.
func newTestGossiper() (*Gossiper, *receivedGossip) {
	rg := &receivedGossip{}
	addrs := func() []string { return []string{"127.0.0.1:7340"} }
	return NewGossiper("p", "127.0.0.1:7341", rg, fakeDigests{rg}, addrs, func() bool { return true }), rg
}

// TestDigestDatagramLeavesLoadUnchanged guards against resetting an entry's load to zero at its
// siblings when it announces a new revision.
func TestDigestDatagramLeavesLoadUnchanged(t *testing.T) {
	sender, _ := newTestGossiper()
	receiver, rg := newTestGossiper()
	rc := &recordingConn{}
	sender.sendDigest(rc)
	assert.Equal(t, len(rc.sent), 1)
	receiver.handleDatagram(rc.sent[0], "127.0.0.1:7342")
	assert.Equal(t, len(rg.loads), 0)
	assert.Equal(t, len(rg.digests), 1)
	assert.Equal(t, rg.digests[0].Revision, replica.Digest{Revision: 7}.Revision)
	assert.Equal(t, rg.digests[0].From, "127.0.0.1:7342")
}
