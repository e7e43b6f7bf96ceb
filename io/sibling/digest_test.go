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

func (wi *recordingConn) WriteTo(data []byte, _ net.Addr) (int, error) {
	wi.sent = append(wi.sent, data)
	return len(data), nil
}

// receivedGossip records the loads and digests that an entry receives.
type receivedGossip struct {
	Loads
	loads   []balance.Load
	digests []replica.Digest
}

func (pe *receivedGossip) ReceiveLoad(_ uint64, lo balance.Load) { pe.loads = append(pe.loads, lo) }

// fakeDigests provides an entry's digest and records received ones in a receivedGossip.
type fakeDigests struct{ pe *receivedGossip }

func (di fakeDigests) Digest(time.Time) replica.Digest { return replica.Digest{Revision: 7} }

func (di fakeDigests) ReceiveDigest(_ time.Time, got replica.Digest) {
	di.pe.digests = append(di.pe.digests, got)
}

// newTestGossiper returns a Gossiper and the record of what it receives.
func newTestGossiper() (*Gossiper, *receivedGossip) {
	pe := &receivedGossip{}
	addrs := func() []string { return []string{"127.0.0.1:7340"} }
	return NewGossiper("p", "127.0.0.1:7341", pe, fakeDigests{pe}, addrs, func() bool { return true }), pe
}

// TestDigestDatagramLeavesLoadUnchanged guards against an entry whose load is reset to zero
// at its siblings when it announces a new revision.
func TestDigestDatagramLeavesLoadUnchanged(t *testing.T) {
	sender, _ := newTestGossiper()
	receiver, pe := newTestGossiper()
	wi := &recordingConn{}
	sender.sendDigest(wi)
	assert.Equal(t, len(wi.sent), 1)
	receiver.handleDatagram(wi.sent[0], "127.0.0.1:7342")
	assert.Equal(t, len(pe.loads), 0)
	assert.Equal(t, len(pe.digests), 1)
	assert.Equal(t, pe.digests[0].Revision, replica.Digest{Revision: 7}.Revision)
	assert.Equal(t, pe.digests[0].From, "127.0.0.1:7342")
}
