package sibling

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// fakeMembership records heartbeats and acknowledgments.
type fakeMembership struct {
	received []core.ProcessID
	acks     []bool
}

func (*fakeMembership) Readers(time.Time) []string { return []string{"127.0.0.1:7340"} }
func (*fakeMembership) Interval() time.Duration    { return time.Second }
func (*fakeMembership) Record() (core.ProcessID, []byte, error) {
	return "p1", []byte(`{"id":"p1"}`), nil
}
func (*fakeMembership) HeartbeatSent(time.Time, string) {}
func (fm *fakeMembership) AckReceived(_ time.Time, _ string, contact bool) {
	fm.acks = append(fm.acks, contact)
}

func (fm *fakeMembership) ReceiveHeartbeat(_ time.Time, id core.ProcessID, value []byte) {
	if string(value) == `{"id":"p1"}` {
		fm.received = append(fm.received, id)
	}
}

// TestHeartbeatIsAcknowledged guards against readers that do not hear of an entry, and against an entry
// that does not learn whether its readers are up.
func TestHeartbeatIsAcknowledged(t *testing.T) {
	sender, _ := newTestGossiper()
	receiver, _ := newTestGossiper()
	fm, fr := &fakeMembership{}, &fakeMembership{}
	sender.membership, receiver.membership = fm, fr
	rc := &recordingConn{}
	sender.sendHeartbeats(rc)
	receiver.reply = func(data []byte, addr string) { sender.handleDatagram(data, addr) }
	receiver.handleDatagram(rc.sent[0], "127.0.0.1:7341")
	assert.DeepEqual(t, fr.received, []core.ProcessID{"p1"})
	assert.DeepEqual(t, fm.acks, []bool{true})
	for _, bad := range [][]byte{{heartbeatFormat}, {heartbeatFormat, 9, 'p'}, {ackFormat, 1}, {heartbeatFormat, 0}} {
		receiver.handleDatagram(bad, "127.0.0.1:7341")
	}
	assert.Equal(t, len(fr.received), 1)
}

// callsToAnnounce provides one call.
type callsToAnnounce struct{ Loads }

func (callsToAnnounce) TakeCalls() []balance.UpstreamLoad {
	return []balance.UpstreamLoad{{Upstream: 1, Own: 1}}
}

// TestCallsAreAnnouncedWithAnyNumberOfSiblings guards against immediate announcements that end at the
// number of siblings from which the rate limit does not cover all of them.
func TestCallsAreAnnouncedWithAnyNumberOfSiblings(t *testing.T) {
	for _, n := range []int{10, 160, 161, 400} {
		var addrs []string
		for i := range n {
			addrs = append(addrs, fmt.Sprintf("127.0.1.%d:%d", i%250, 7000+i/250))
		}
		gs := NewGossiper("p", "127.0.0.1:7341", callsToAnnounce{}, fakeDigests{}, func() []string { return addrs }, func() bool { return false })
		rc := &recordingConn{}
		gs.sendSentCalls(rc)
		assert.Equal(t, len(rc.sent), min(n, sentBurst), "%d siblings", n)
	}
}
