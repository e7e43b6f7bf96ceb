package sibling

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// Loads are what entries have at upstreams.
type Loads interface {
	// Load returns what this entry has to tell.
	Load() balance.Load
	// Told takes in what another one told.
	Told(from uint64, lo balance.Load)
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

// A datagram is a version, the hash of its sender's process, the number of
// shares, and the shares: the upstream's hash, its attempts, and its pending time
// in pendingUnit. The rest are parts of prompts that engines have read: the
// upstream's hash and the part's.
const (
	format      = 3
	headSize    = 1 + 8 + 1
	shareSize   = 8 + 2 + 2
	keptSize    = 8 + 8
	pendingUnit = 10 * time.Millisecond
	// maxShares and maxKept keep a datagram below the usual packet of 1,500
	// bytes; more upstreams than that have an attempt of one entry only at sizes
	// where a part will do.
	maxShares = 64
	maxKept   = 40
	maxUnits  = 1<<16 - 1
	// told is how many siblings are told in one round. Four rounds a second with
	// datagrams of a hundred bytes or two stay below 8 kB a second, however many
	// entries there are; at 72 in a region each hears of each other every two
	// seconds.
	told = 10
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
	lo := sh.ld.Load()
	if len(lo.Shares) == 0 && len(lo.Kept) == 0 {
		return
	}
	data := encode(xxhash.Sum64String(string(sh.self)), lo)
	addrs := sh.addrs()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs[:min(len(addrs), told)] {
		if to, err := net.ResolveUDPAddr("udp", addr); err == nil {
			_, _ = pc.WriteTo(data, to) // A lost datagram is made up for by the next.
		}
	}
}

func encode(self uint64, lo balance.Load) []byte {
	shares, kept := lo.Shares[:min(len(lo.Shares), maxShares)], lo.Kept[:min(len(lo.Kept), maxKept)]
	data := make([]byte, 0, headSize+len(shares)*shareSize+len(kept)*keptSize)
	data = append(data, format)
	data = binary.BigEndian.AppendUint64(data, self)
	data = append(data, byte(len(shares)))
	for _, sr := range shares {
		data = binary.BigEndian.AppendUint64(data, sr.Upstream)
		data = binary.BigEndian.AppendUint16(data, uint16(min(sr.Own, maxUnits)))
		data = binary.BigEndian.AppendUint16(data, uint16(min(sr.Pending/pendingUnit, maxUnits)))
	}
	for _, ke := range kept {
		data = binary.BigEndian.AppendUint64(data, ke.Upstream)
		data = binary.BigEndian.AppendUint64(data, ke.Part)
	}
	return data
}

// decode returns false for a datagram that no sibling of this release sent.
func decode(data []byte) (from uint64, lo balance.Load, ok bool) {
	if len(data) < headSize || data[0] != format {
		return 0, lo, false
	}
	from = binary.BigEndian.Uint64(data[1:])
	shares, rest := int(data[9])*shareSize, data[headSize:]
	if len(rest) < shares || (len(rest)-shares)%keptSize != 0 {
		return 0, lo, false
	}
	for row := rest[:shares]; len(row) > 0; row = row[shareSize:] {
		lo.Shares = append(lo.Shares, balance.Share{
			Upstream: binary.BigEndian.Uint64(row),
			Own:      int(binary.BigEndian.Uint16(row[8:])),
			Pending:  time.Duration(binary.BigEndian.Uint16(row[10:])) * pendingUnit,
		})
	}
	for row := rest[shares:]; len(row) > 0; row = row[keptSize:] {
		lo.Kept = append(lo.Kept, balance.Kept{Upstream: binary.BigEndian.Uint64(row), Part: binary.BigEndian.Uint64(row[8:])})
	}
	return from, lo, true
}

func (sh *Sharer) receive(pc net.PacketConn) {
	buf := make([]byte, headSize+maxShares*shareSize+maxKept*keptSize)
	for {
		n, _, err := pc.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if from, lo, ok := decode(buf[:n]); ok {
			sh.ld.Told(from, lo)
		}
	}
}
