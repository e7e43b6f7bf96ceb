package sibling

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/mirror"
)

// Loads are what entries have at upstreams.
type Loads interface {
	// Load returns what this entry has to tell.
	Load() balance.Load
	// Told takes in what another one told.
	Told(from uint64, lo balance.Load)
	// Sent wakes whenever SentNow has something to tell at once.
	Sent() <-chan struct{}
	// SentNow returns the work that went to upstreams since the last call.
	SentNow() []balance.Share
	// ToldSent takes in what another one has just sent.
	ToldSent(from uint64, sent []balance.Share)
	// RegionLoad returns what this entry tells those of other regions, with at
	// most so many upstreams in full, and ToldRegion takes in what they told.
	RegionLoad(most int) balance.RegionLoad
	ToldRegion(lo balance.RegionLoad)
	// RemoteCalls returns the work that went to other regions since the last call,
	// and ToldRemoteCalls takes in what one of their entries has just sent here.
	RemoteCalls() []balance.RemoteCalls
	ToldRemoteCalls(sent balance.RemoteCalls)
	// Facts returns what this entry has found out of upstreams since the last call.
	Facts() []balance.Fact
	// ToldFacts takes in what another one has found out.
	ToldFacts(facts []balance.Fact)
}

// Digests are what entries tell of their copies of the store.
type Digests interface {
	// Digest returns what this entry has to tell.
	Digest(now time.Time) mirror.Digest
	// Told takes in what another one told.
	Told(now time.Time, di mirror.Digest)
}

// Sharer is the duty that tells the entries of the own region what this one has
// at upstreams and of the store, by datagrams: a lost one is made up for by the
// next, and an entry that is gone holds nobody up. It implements suture's Service.
type Sharer struct {
	self  core.ProcessID
	addr  string
	ld    Loads
	di    Digests
	addrs func() []string
	// remote lists the entries of each other region.
	remote func() map[core.Region][]string
	// round counts the times that other regions were told.
	round int
	// reads reports whether others rely on this entry's copy.
	reads   func() bool
	changed chan struct{}
	turns   turns
	// limit bounds the datagrams beside the rounds.
	limit *rate.Limiter
	// facts wait to be told.
	facts []balance.Fact
}

// SharerOption changes a Sharer at construction.
type SharerOption func(*Sharer)

// Remote sets what lists the entries of each other region.
func Remote(fn func() map[core.Region][]string) SharerOption {
	return func(sh *Sharer) { sh.remote = fn }
}

// NewSharer returns the duty. It listens at addr and sends to those that addrs
// lists; reads reports whether others rely on this entry's copy of the store.
func NewSharer(self core.ProcessID, addr string, ld Loads, di Digests, addrs func() []string, reads func() bool, opts ...SharerOption) *Sharer {
	sh := &Sharer{
		self: self, addr: addr, ld: ld, di: di, addrs: addrs, reads: reads, changed: make(chan struct{}, 1), turns: turns{},
		limit: rate.NewLimiter(sentRate, sentBurst), remote: func() map[core.Region][]string { return nil },
	}
	for _, opt := range opts {
		opt(sh)
	}
	return sh
}

// Changed has all siblings told at once that this entry's copy has changed, if
// they rely on it.
func (sh *Sharer) Changed() {
	select {
	case sh.changed <- struct{}{}:
	default:
	}
}

// A datagram is a version, the hash of its sender's process, the revision of its
// copy of the store with the copy's age and the time since the store answered, in
// digestUnit, the numbers of shares and of budgets, and these: the upstream's hash, its
// attempts, and its pending time in pendingUnit; the service's hash and the repeats
// that are left. The rest are parts of prompts that engines have read: the upstream's
// hash and the part's.
const (
	format      = 5
	digestSize  = 8 + 2 + 2
	headSize    = 1 + 8 + digestSize + 1 + 1
	budgetSize  = 8 + 2
	digestUnit  = 10 * time.Millisecond
	noContact   = maxUnits
	shareSize   = 8 + 2 + 2
	keptSize    = 8 + 8
	pendingUnit = 10 * time.Millisecond
	// maxShares and maxKept keep a datagram below the usual packet of 1,500
	// bytes; more upstreams than that have an attempt of one entry only at sizes
	// where a part will do.
	maxShares  = 64
	maxKept    = 36
	maxBudgets = 4
	maxUnits   = 1<<16 - 1
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
	far := time.NewTicker(balance.RemoteEvery)
	defer far.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
			sh.sendFacts(pc, true)
			sh.send(pc)
		case <-far.C:
			sh.sendRemote(pc)
		case <-sh.changed:
			sh.sendDigest(pc)
		case <-sh.ld.Sent():
			sh.sendSent(pc)
			sh.sendRemoteCalls(pc)
			sh.sendFacts(pc, false) // A call that found nobody is followed by another one.
		}
	}
}

// send tells some siblings. An entry on which nobody relies tells nothing when it
// has no work: the others forget it within seconds.
func (sh *Sharer) send(pc net.PacketConn) {
	lo := sh.ld.Load()
	if len(lo.Shares) == 0 && len(lo.Kept) == 0 && !sh.reads() {
		return
	}
	sh.turns.add(sh.addrs(), lo.Kept)
	for _, addr := range sh.turns.next(told) {
		sh.sendTo(pc, []string{addr}, balance.Load{Shares: lo.Shares, Kept: sh.turns.take(addr), Budgets: lo.Budgets})
	}
}

// sendSent tells siblings at once what went to upstreams, as far as the bound on
// datagrams allows; the next round tells the others.
func (sh *Sharer) sendSent(pc net.PacketConn) {
	sent := sh.ld.SentNow()
	if len(sent) == 0 {
		return
	}
	addrs := sh.addrs()
	if !sh.limit.AllowN(time.Now(), len(addrs)) {
		return
	}
	write(pc, addrs, encodeSent(balance.HashOf(sh.self), sent))
}

// sendFacts tells all siblings what this entry has found out of upstreams: at once as
// far as the bound on datagrams allows, and in each round whatever is left.
func (sh *Sharer) sendFacts(pc net.PacketConn, round bool) {
	sh.facts = append(sh.facts, sh.ld.Facts()...)
	if len(sh.facts) == 0 {
		return
	}
	addrs := sh.addrs()
	if round || sh.limit.AllowN(time.Now(), len(addrs)) {
		write(pc, addrs, encodeFacts(sh.facts))
		sh.facts = nil
	}
}

// sendDigest tells all siblings which revision this entry holds, and nothing of its
// loads.
func (sh *Sharer) sendDigest(pc net.PacketConn) {
	if sh.reads() {
		write(pc, sh.addrs(), encodeRevision(sh.di.Digest(time.Now())))
	}
}

func (sh *Sharer) sendTo(pc net.PacketConn, addrs []string, lo balance.Load) {
	write(pc, addrs, encode(balance.HashOf(sh.self), sh.di.Digest(time.Now()), lo))
}

func write(pc net.PacketConn, addrs []string, data []byte) {
	for _, addr := range addrs {
		if to, err := net.ResolveUDPAddr("udp", addr); err == nil {
			_, _ = pc.WriteTo(data, to) // A lost datagram is made up for by the next.
		}
	}
}

func encode(self uint64, di mirror.Digest, lo balance.Load) []byte {
	shares, kept := lo.Shares[:min(len(lo.Shares), maxShares)], lo.Kept[:min(len(lo.Kept), maxKept)]
	data := make([]byte, 0, headSize+len(shares)*shareSize+len(kept)*keptSize)
	data = append(data, format)
	data = binary.BigEndian.AppendUint64(data, self)
	data = appendDigest(data, di)
	budgets := lo.Budgets[:min(len(lo.Budgets), maxBudgets)]
	data = append(data, byte(len(shares)), byte(len(budgets)))
	data = appendShares(data, shares)
	data = appendBudgets(data, budgets)
	for _, ke := range kept {
		data = binary.BigEndian.AppendUint64(data, ke.Upstream)
		data = binary.BigEndian.AppendUint64(data, ke.Part)
	}
	return data
}

func appendDigest(data []byte, di mirror.Digest) []byte {
	data = binary.BigEndian.AppendUint64(data, uint64(di.Revision))
	data = binary.BigEndian.AppendUint16(data, uint16(min(max(di.Age, 0)/digestUnit, maxUnits)))
	return binary.BigEndian.AppendUint16(data, contactUnits(di.Contact))
}

// revisionFormat is the version of a datagram that holds a digest alone.
const revisionFormat = 0x84

func encodeRevision(di mirror.Digest) []byte { return appendDigest([]byte{revisionFormat}, di) }

// decodeRevision returns false for a datagram of another kind.
func decodeRevision(data []byte) (mirror.Digest, bool) {
	if len(data) != 1+digestSize || data[0] != revisionFormat {
		return mirror.Digest{}, false
	}
	return decodeDigest(data[1:]), true
}

func contactUnits(contact time.Duration) uint16 {
	if contact < 0 {
		return noContact
	}
	return uint16(min(contact/digestUnit, noContact-1))
}

// decode returns false for a datagram that no sibling of this release sent.
func decode(data []byte) (from uint64, di mirror.Digest, lo balance.Load, ok bool) {
	if len(data) < headSize || data[0] != format {
		return 0, di, lo, false
	}
	from = binary.BigEndian.Uint64(data[1:])
	di = decodeDigest(data[9:])
	shares, budgets, rest := int(data[headSize-2])*shareSize, int(data[headSize-1])*budgetSize, data[headSize:]
	if len(rest) < shares+budgets || (len(rest)-shares-budgets)%keptSize != 0 {
		return 0, di, lo, false
	}
	lo.Shares = decodeShares(rest[:shares])
	lo.Budgets = decodeBudgets(rest[shares : shares+budgets])
	for row := rest[shares+budgets:]; len(row) > 0; row = row[keptSize:] {
		lo.Kept = append(lo.Kept, balance.Kept{Upstream: binary.BigEndian.Uint64(row), Part: binary.BigEndian.Uint64(row[8:])})
	}
	return from, di, lo, true
}

func decodeDigest(data []byte) mirror.Digest {
	di := mirror.Digest{
		Revision: core.Revision(binary.BigEndian.Uint64(data)),
		Age:      time.Duration(binary.BigEndian.Uint16(data[8:])) * digestUnit,
		Contact:  mirror.NoContact,
	}
	if units := binary.BigEndian.Uint16(data[10:]); units != noContact {
		di.Contact = time.Duration(units) * digestUnit
	}
	return di
}

func (sh *Sharer) receive(pc net.PacketConn) {
	buf := make([]byte, headSize+maxShares*shareSize+maxBudgets*budgetSize+maxKept*keptSize)
	for {
		n, addr, err := pc.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		sh.take(buf[:n], addr.String())
	}
}

// take takes in a datagram. Bytes that no sibling of this release sent are passed
// over.
func (sh *Sharer) take(data []byte, addr string) {
	if lo, ok := decodeRegion(data); ok {
		sh.ld.ToldRegion(lo)
		return
	}
	if sent, ok := decodeRemoteCalls(data); ok {
		sh.ld.ToldRemoteCalls(sent)
		return
	}
	if facts, ok := decodeFacts(data); ok {
		sh.ld.ToldFacts(facts)
		return
	}
	if from, sent, ok := decodeSent(data); ok {
		sh.ld.ToldSent(from, sent)
		return
	}
	if di, ok := decodeRevision(data); ok {
		sh.toldDigest(di, addr)
		return
	}
	if from, di, lo, ok := decode(data); ok {
		sh.ld.Told(from, lo)
		sh.toldDigest(di, addr)
	}
}

// toldDigest takes in a digest. Its sender answers at the address that it sends
// from.
func (sh *Sharer) toldDigest(di mirror.Digest, addr string) {
	di.From = addr
	sh.di.Told(time.Now(), di)
}
