package sibling

import (
	"net"
	"time"

	"skylarkstand/core"
)

// Membership chooses the readers of the region and keeps the list of entries.
type Membership interface {
	// Readers returns the addresses of the entries that heartbeats go to.
	Readers(now time.Time) []string
	// Interval returns the pause until the next heartbeat.
	Interval() time.Duration
	// Record returns the id and the registration that this entry's heartbeats carry.
	Record() (core.ProcessID, []byte, error)
	// HeartbeatSent records a heartbeat to another entry, and AckReceived its acknowledgment and whether
	// that entry has contact to the store.
	HeartbeatSent(now time.Time, addr string)
	AckReceived(now time.Time, addr string, contact bool)
	// ReceiveHeartbeat records the heartbeat of another entry.
	ReceiveHeartbeat(now time.Time, id core.ProcessID, registration []byte)
}

// A heartbeat datagram consists of a format byte, the length of the sender's process id, the id, and the
// sender's registration. It is answered by an acknowledgment, which consists of a format byte and the
// digest of the replica.
const (
	heartbeatFormat = 0x88
	ackFormat       = 0x89
	// maxHeartbeat keeps a datagram below the usual packet size.
	maxHeartbeat = 1200
)

// Heartbeats sets the component that heartbeats are sent for. Without it, none are sent or answered.
func Heartbeats(me Membership) GossiperOption { return func(gs *Gossiper) { gs.membership = me } }

// sendHeartbeats sends heartbeats to the readers, and returns the pause until the next ones.
func (gs *Gossiper) sendHeartbeats(pc net.PacketConn) time.Duration {
	if id, value, err := gs.membership.Record(); err == nil {
		data := encodeHeartbeat(id, value)
		for _, addr := range gs.membership.Readers(time.Now()) {
			if addr != gs.addr && len(data) > 0 {
				gs.membership.HeartbeatSent(time.Now(), addr)
				sendDatagrams(pc, []string{addr}, data)
			}
		}
	}
	return gs.membership.Interval()
}

// receiveMembership handles a heartbeat or an acknowledgment. It returns false for any other datagram.
func (gs *Gossiper) receiveMembership(data []byte, addr string) bool {
	if gs.membership == nil || len(data) == 0 {
		return false
	}
	now := time.Now()
	if id, value, ok := decodeHeartbeat(data); ok {
		gs.membership.ReceiveHeartbeat(now, id, value)
		if di := gs.di.Digest(now); di.Revision > 0 {
			gs.reply(appendDigest([]byte{ackFormat}, di), addr)
		}
		return true
	}
	if data[0] != ackFormat || len(data) != 1+digestSize {
		return false
	}
	di := decodeDigest(data[1:])
	gs.membership.AckReceived(now, addr, di.Contact >= 0)
	gs.receiveDigest(di, addr)
	return true
}

// encodeHeartbeat returns nil if the registration is too long for a datagram.
func encodeHeartbeat(id core.ProcessID, value []byte) []byte {
	if len(id) > maxIDLength || len(id)+len(value) > maxHeartbeat {
		return nil
	}
	data := make([]byte, 0, 2+len(id)+len(value))
	data = append(data, heartbeatFormat, byte(len(id)))
	data = append(data, id...)
	return append(data, value...)
}

// maxIDLength is the maximum length of a process id, which one byte encodes.
const maxIDLength = 1<<8 - 1

// decodeHeartbeat returns false for any other datagram.
func decodeHeartbeat(data []byte) (core.ProcessID, []byte, bool) {
	if len(data) < 2 || data[0] != heartbeatFormat || len(data) < 2+int(data[1]) || data[1] == 0 {
		return "", nil, false
	}
	end := 2 + int(data[1])
	return core.ProcessID(data[2:end]), data[end:], true
}
