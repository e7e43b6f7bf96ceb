package sibling

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/balance"
	"skylarkstand/core/mirror"
)

// wire keeps the datagrams that are sent.
type wire struct {
	net.PacketConn
	sent [][]byte
}

func (wi *wire) WriteTo(data []byte, _ net.Addr) (int, error) {
	wi.sent = append(wi.sent, data)
	return len(data), nil
}

// peer is an entry that is told of loads and of revisions.
type peer struct {
	Loads
	loads   []balance.Load
	digests []mirror.Digest
}

func (pe *peer) Told(_ uint64, lo balance.Load) { pe.loads = append(pe.loads, lo) }

// digests are those of an entry's copy.
type digests struct{ pe *peer }

func (di digests) Digest(time.Time) mirror.Digest { return mirror.Digest{Revision: 7} }

func (di digests) Told(_ time.Time, got mirror.Digest) { di.pe.digests = append(di.pe.digests, got) }

func newPeer() (*Sharer, *peer) {
	pe := &peer{}
	addrs := func() []string { return []string{"127.0.0.1:7340"} }
	return NewSharer("p", "127.0.0.1:7341", pe, digests{pe}, addrs, func() bool { return true }), pe
}

// TestRevisionIsToldWithoutLoads guards against a reader that tells of a new revision
// and is then thought to have no work at any engine.
func TestRevisionIsToldWithoutLoads(t *testing.T) {
	sender, _ := newPeer()
	receiver, pe := newPeer()
	wi := &wire{}
	sender.sendDigest(wi)
	assert.Equal(t, len(wi.sent), 1)
	receiver.take(wi.sent[0], "127.0.0.1:7342")
	assert.Equal(t, len(pe.loads), 0)
	assert.Equal(t, len(pe.digests), 1)
	assert.Equal(t, pe.digests[0].Revision, mirror.Digest{Revision: 7}.Revision)
	assert.Equal(t, pe.digests[0].From, "127.0.0.1:7342")
}
