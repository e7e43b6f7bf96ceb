package sibling

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/ratelimit"
	"skylarkstand/core/replica"
	"skylarkstand/core/suspect"
)

// Loads provides this entry's load at upstreams and records the load of other entries.
type Loads interface {
	// TakeLoad returns the load that this entry announces.
	TakeLoad() balance.Load
	// ReceiveLoad records the load announced by another entry.
	ReceiveLoad(from uint64, lo balance.Load)
	// SentSignal returns a channel that receives when TakeCalls has calls to announce
	// immediately.
	SentSignal() <-chan struct{}
	// TakeCalls returns the calls sent to upstreams since the previous call of TakeCalls.
	TakeCalls() []balance.UpstreamLoad
	// ReceiveCalls records calls that another entry has just sent.
	ReceiveCalls(from uint64, sent []balance.UpstreamLoad)
	// RegionLoad returns the load announced to entries of other regions, with at most
	// the given number of individual upstreams. ReceiveRegionLoad records such a load.
	RegionLoad(maxUpstreams int) balance.RegionLoad
	ReceiveRegionLoad(lo balance.RegionLoad)
	// TakeRemoteCalls returns the calls sent to other regions since the previous call of
	// TakeRemoteCalls. ReceiveRemoteCalls records calls that an entry of another region has just
	// sent to this region.
	TakeRemoteCalls() []balance.RemoteCalls
	ReceiveRemoteCalls(sent balance.RemoteCalls)
	// TakeFacts returns the facts about upstreams found by this entry since the previous call
	// of TakeFacts.
	TakeFacts() []balance.Fact
	// ReceiveFacts records facts found by another entry.
	ReceiveFacts(facts []balance.Fact)
	// TakeRateLimits returns the changes of upstreams' rate limits since the previous call of
	// TakeRateLimits. ReceiveRateLimits records those that another entry has announced.
	TakeRateLimits() []ratelimit.Notice
	ReceiveRateLimits(notices []ratelimit.Notice)
	// TakeDraining returns the upstreams that this entry has found draining since the previous
	// call of TakeDraining. ReceiveDraining records those that another entry has found.
	TakeDraining() []balance.Incarnation
	ReceiveDraining(ups []balance.Incarnation)
	// TakeSuspects returns what this entry has to announce about requests that may crash upstreams.
	// ReceiveSuspects records what another entry has announced.
	TakeSuspects() suspect.Notices
	ReceiveSuspects(no suspect.Notices)
	// LendRetry takes a retry from this entry's budget for another entry. The service is given by its
	// hash.
	LendRetry(service uint64) bool
}

// Digests provides this entry's replica digest and processes those of other entries.
type Digests interface {
	// Digest returns the digest that this entry announces.
	Digest(now time.Time) replica.Digest
	// ReceiveDigest processes a digest received from another entry.
	ReceiveDigest(now time.Time, di replica.Digest)
}

// Gossiper is the service that gossips this entry's load and replica digest to the other
// entries of the local region by datagrams. The next round makes up for a lost datagram,
// and an entry that is gone does not delay the others. It implements suture.Service.
type Gossiper struct {
	self  core.ProcessID
	addr  string
	ld    Loads
	di    Digests
	addrs func() []string
	// remote returns the addresses of the entries of each other region.
	remote func() map[core.Region][]string
	// remoteRound counts the gossip rounds to other regions.
	remoteRound int
	// isReader reports whether other entries rely on this entry's replica.
	isReader        func() bool
	revisionChanged chan struct{}
	rotation        rotation
	// limiter bounds the datagrams sent outside gossip rounds.
	limiter *rate.Limiter
	// unsentFacts holds the facts that are not announced yet.
	unsentFacts []balance.Fact
	draining    repeater[balance.Incarnation]
	crashes     repeater[suspect.Crash]
	cleared     repeater[suspect.Fingerprint]
	trials      repeater[suspect.Fingerprint]
	// quarantined are the datagrams with what is in quarantine; nil for none. asksLeft is how often
	// this entry still asks others for theirs.
	quarantined atomic.Pointer[[][]byte]
	asksLeft    int
	loans       loans
	// loanWait is how long an answer to a request for a loan may take.
	loanWait time.Duration
	// membership is what heartbeats are sent for; nil for none.
	membership Membership
	// listen opens the socket for datagrams.
	listen func(addr string) (net.PacketConn, error)
	// reply sends a datagram to the sender of another one.
	reply func(data []byte, addr string)
}

// GossiperOption configures a Gossiper.
type GossiperOption func(*Gossiper)

// RemoteEntries sets the function that returns the addresses of the entries of each other region.
func RemoteEntries(fn func() map[core.Region][]string) GossiperOption {
	return func(gs *Gossiper) { gs.remote = fn }
}

// ListenBy sets how the socket for datagrams is opened; the default is UDP.
func ListenBy(fn func(addr string) (net.PacketConn, error)) GossiperOption {
	return func(gs *Gossiper) { gs.listen = fn }
}

// NewGossiper returns a Gossiper that listens at addr and sends to the addresses returned by
// addrs. isReader reports whether other entries rely on this entry's replica.
func NewGossiper(self core.ProcessID, addr string, ld Loads, di Digests, addrs func() []string, isReader func() bool, opts ...GossiperOption) *Gossiper {
	gs := &Gossiper{
		self: self, addr: addr, ld: ld, di: di, addrs: addrs, isReader: isReader, revisionChanged: make(chan struct{}, 1), rotation: rotation{},
		limiter: rate.NewLimiter(sentRate, sentBurst), remote: func() map[core.Region][]string { return nil },
		draining: repeater[balance.Incarnation]{rounds: drainingRounds}, crashes: repeater[suspect.Crash]{rounds: crashRounds},
		cleared: repeater[suspect.Fingerprint]{rounds: crashRounds}, trials: repeater[suspect.Fingerprint]{rounds: crashRounds}, asksLeft: askRounds, loanWait: loanWait,
		listen: func(addr string) (net.PacketConn, error) { return net.ListenPacket("udp", addr) },
	}
	for _, opt := range opts {
		opt(gs)
	}
	return gs
}

// AnnounceDigest triggers an immediate announcement of this entry's replica digest to all
// siblings, if they rely on its replica.
func (gs *Gossiper) AnnounceDigest() {
	select {
	case gs.revisionChanged <- struct{}{}:
	default:
	}
}

// siblingsPerRound is the number of siblings addressed in one gossip round. Four
// rounds a second with datagrams of one or two hundred bytes stay below 8 kB a second
// for any number of entries; with 72 entries in a region, each receives the load of
// each other one every two seconds.
const siblingsPerRound = 10

// Serve implements suture.Service.
func (gs *Gossiper) Serve(ctx context.Context) error {
	pc, err := gs.listen(gs.addr)
	if err != nil {
		return eris.Wrap(err, "sibling")
	}
	defer context.AfterFunc(ctx, func() { pc.Close() })()
	gs.loans.open(pc)
	gs.reply = func(data []byte, addr string) { sendDatagrams(pc, []string{addr}, data) }
	go gs.receive(pc)
	beat := time.NewTimer(0)
	defer beat.Stop()
	if gs.membership == nil {
		beat.Stop()
	}
	ti := time.NewTicker(balance.AnnounceInterval)
	defer ti.Stop()
	remoteTicker := time.NewTicker(balance.RemoteInterval)
	defer remoteTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beat.C:
			beat.Reset(gs.sendHeartbeats(pc))
		case <-ti.C:
			gs.sendFacts(pc, true)
			gs.sendRateLimits(pc)
			gs.sendDraining(pc)
			gs.sendSuspects(pc)
			gs.askQuarantined(pc)
			gs.sendLoad(pc)
		case <-remoteTicker.C:
			gs.sendRegionLoad(pc)
		case <-gs.revisionChanged:
			gs.sendDigest(pc)
			gs.askQuarantined(pc)
		case <-gs.ld.SentSignal():
			gs.sendSentCalls(pc)
			gs.sendRemoteCalls(pc)
			gs.sendFacts(pc, false) // A failed connect is followed by a retry, whose call triggers this case.
		}
	}
}

// sendLoad gossips this entry's load to some siblings. An entry that is no reader sends
// nothing when it has no load: its last load expires at the others within seconds.
func (gs *Gossiper) sendLoad(pc net.PacketConn) {
	lo := gs.ld.TakeLoad()
	if len(lo.Upstreams) == 0 && len(lo.CachedParts) == 0 && !gs.isReader() {
		return
	}
	gs.rotation.beginRound(gs.addrs(), lo.CachedParts)
	for _, addr := range gs.rotation.next(siblingsPerRound) {
		gs.sendTo(pc, []string{addr}, balance.Load{Upstreams: lo.Upstreams, CachedParts: gs.rotation.takePending(addr), Budgets: lo.Budgets})
	}
}

// sendFacts sends facts about upstreams to all siblings: immediately if the rate limit
// allows, otherwise with the next gossip round.
func (gs *Gossiper) sendFacts(pc net.PacketConn, round bool) {
	gs.unsentFacts = append(gs.unsentFacts, gs.ld.TakeFacts()...)
	if len(gs.unsentFacts) == 0 {
		return
	}
	addrs := gs.addrs()
	if round || gs.limiter.AllowN(time.Now(), len(addrs)) {
		sendDatagrams(pc, addrs, encodeFacts(gs.unsentFacts))
		gs.unsentFacts = nil
	}
}

// sendDigest sends the replica digest, without the load, to all siblings if they rely on
// this entry's replica.
func (gs *Gossiper) sendDigest(pc net.PacketConn) {
	if gs.isReader() {
		sendDatagrams(pc, gs.addrs(), encodeDigest(gs.di.Digest(time.Now())))
	}
}

func (gs *Gossiper) sendTo(pc net.PacketConn, addrs []string, lo balance.Load) {
	sendDatagrams(pc, addrs, encodeLoad(balance.Hash(gs.self), gs.di.Digest(time.Now()), lo))
}

// sendDatagrams sends data to each of the addresses.
func sendDatagrams(pc net.PacketConn, addrs []string, data []byte) {
	for _, addr := range addrs {
		if to, err := net.ResolveUDPAddr("udp", addr); err == nil {
			_, _ = pc.WriteTo(data, to) // The next datagram makes up for a lost one.
		}
	}
}

func (gs *Gossiper) receive(pc net.PacketConn) {
	buf := make([]byte, loadHeadSize+maxUpstreamLoads*upstreamLoadSize+maxBudgets*budgetSize+maxCachedParts*cachedPartSize)
	for {
		n, addr, err := pc.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		gs.handleDatagram(buf[:n], addr.String())
	}
}

// handleDatagram decodes a datagram and passes on its content. Datagrams of unknown
// formats, including those of other releases, are ignored.
func (gs *Gossiper) handleDatagram(data []byte, addr string) {
	if gs.receiveMembership(data, addr) || gs.receiveSuspects(data, addr) || gs.receiveLoan(data, addr) {
		return
	}
	if lo, ok := decodeRegion(data); ok {
		gs.ld.ReceiveRegionLoad(lo)
		return
	}
	if sent, ok := decodeRemoteCalls(data); ok {
		gs.ld.ReceiveRemoteCalls(sent)
		return
	}
	if facts, ok := decodeFacts(data); ok {
		gs.ld.ReceiveFacts(facts)
		return
	}
	if ups, ok := decodeDraining(data); ok {
		gs.ld.ReceiveDraining(ups)
		return
	}
	if notices, ok := decodeRateLimits(data); ok {
		gs.ld.ReceiveRateLimits(notices)
		return
	}
	if from, sent, ok := decodeSent(data); ok {
		gs.ld.ReceiveCalls(from, sent)
		return
	}
	if di, ok := decodeDigestDatagram(data); ok {
		gs.receiveDigest(di, addr)
		return
	}
	if from, di, lo, ok := decodeLoad(data); ok {
		gs.ld.ReceiveLoad(from, lo)
		gs.loans.recordReport(time.Now(), addr, lo.Budgets)
		gs.receiveDigest(di, addr)
	}
}

// receiveDigest processes a received digest. The sender serves its replica at the address
// that it sends from.
func (gs *Gossiper) receiveDigest(di replica.Digest, addr string) {
	di.From = addr
	gs.di.ReceiveDigest(time.Now(), di)
}
