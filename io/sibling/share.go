package sibling

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// Loads are what entries have at upstreams.
type Loads interface {
	// Shares lists what this entry has.
	Shares() []balance.Share
	// Told takes in what another one has.
	Told(from uint64, shares []balance.Share)
}

// Sharer is the duty that tells the entries of the own region what this one has
// at upstreams, by datagrams: a lost one is made up for by the next, and an
// entry that is gone holds nobody up. It implements suture's Service.
type Sharer struct {
	self  core.ProcessID
	addr  string
	ld    Loads
	addrs func() []string
}

// NewSharer returns the duty. It listens at addr and sends to those that addrs
// lists.
func NewSharer(self core.ProcessID, addr string, ld Loads, addrs func() []string) *Sharer {
	return &Sharer{self: self, addr: addr, ld: ld, addrs: addrs}
}

// A datagram is a version, the hash of its sender's process, and the shares: the
// upstream's hash, its attempts, and its pending time in pendingUnit.
const (
	format      = 1
	headSize    = 1 + 8
	shareSize   = 8 + 2 + 2
	pendingUnit = 10 * time.Millisecond
	// maxShares keeps a datagram below the usual packet; more upstreams than
	// that have an attempt of one entry only at sizes where a part will do.
	maxShares = 110
	maxUnits  = 1<<16 - 1
)

// Serve implements suture's Service.
func (sh *Sharer) Serve(ctx context.Context) error {
	pc, err := net.ListenPacket("udp", sh.addr)
	if err != nil {
		return eris.Wrap(err, "sibling")
	}
	defer context.AfterFunc(ctx, func() { pc.Close() })()
	go sh.receive(pc)
	ti := time.NewTicker(balance.ShareEvery)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
			sh.send(pc)
		}
	}
}

// send tells the siblings. Nothing is told when nothing is known to differ from
// nothing: an idle entry is forgotten by the others within a second.
func (sh *Sharer) send(pc net.PacketConn) {
	shares := sh.ld.Shares()
	if len(shares) == 0 {
		return
	}
	data := encode(xxhash.Sum64String(string(sh.self)), shares)
	for _, addr := range sh.addrs() {
		if to, err := net.ResolveUDPAddr("udp", addr); err == nil {
			_, _ = pc.WriteTo(data, to) // A lost datagram is made up for by the next.
		}
	}
}

func encode(self uint64, shares []balance.Share) []byte {
	shares = shares[:min(len(shares), maxShares)]
	data := make([]byte, 0, headSize+len(shares)*shareSize)
	data = append(data, format)
	data = binary.BigEndian.AppendUint64(data, self)
	for _, sr := range shares {
		data = binary.BigEndian.AppendUint64(data, sr.Upstream)
		data = binary.BigEndian.AppendUint16(data, uint16(min(sr.Own, maxUnits)))
		data = binary.BigEndian.AppendUint16(data, uint16(min(sr.Pending/pendingUnit, maxUnits)))
	}
	return data
}

// decode returns false for a datagram that no sibling of this release sent.
func decode(data []byte) (from uint64, shares []balance.Share, ok bool) {
	if len(data) < headSize || data[0] != format || (len(data)-headSize)%shareSize != 0 {
		return 0, nil, false
	}
	from = binary.BigEndian.Uint64(data[1:])
	for rest := data[headSize:]; len(rest) > 0; rest = rest[shareSize:] {
		shares = append(shares, balance.Share{
			Upstream: binary.BigEndian.Uint64(rest),
			Own:      int(binary.BigEndian.Uint16(rest[8:])),
			Pending:  time.Duration(binary.BigEndian.Uint16(rest[10:])) * pendingUnit,
		})
	}
	return from, shares, true
}

func (sh *Sharer) receive(pc net.PacketConn) {
	buf := make([]byte, headSize+maxShares*shareSize)
	for {
		n, _, err := pc.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if from, shares, ok := decode(buf[:n]); ok {
			sh.ld.Told(from, shares)
		}
	}
}
