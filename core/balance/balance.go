package balance

import (
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

// Request is what a choice depends on.
type Request struct {
	Service core.ServiceID
	// Model, Parts and Prompt are set for engines. Parts are those of the
	// prompt, in order; their sum may be below Prompt.
	Model  core.ModelID
	Parts  []core.Part
	Prompt core.Tokens
	// Engine says that the upstreams batch and keep prompts in memory.
	Engine bool
	// Pool separates times that are unlike: one route from another.
	Pool string
	// Tried are upstreams that are not asked again.
	Tried []core.UpstreamID
	// Slack is the time until an answer begins too late to be good; 0 is no bound.
	Slack time.Duration
	// RemoteOnly says that the request may not be served in this entry's region, so that
	// nothing of its prompt is told here.
	RemoteOnly bool
	// Once says that the work may run at most once, so that a failing upstream
	// costs the whole answer.
	Once bool
}

// Picker chooses. It belongs to one goroutine at a time.
type Picker struct {
	zone   core.Zone
	region core.Region
	peers  map[core.UpstreamID]*peer
	pools  map[poolKey]*pool
	// reading is what is known of the engines' pace.
	reading reading
	// hashed are the peers by the hash of their ids; recent is what has been
	// sent to engines since it was told.
	hashed map[uint64]*peer
	recent []Kept
	// sent is the work that went to upstreams and was not told yet, and read the
	// prompts that were read since the last telling.
	sent, read []Share
	// facts are the peers of which something was found out that was not told yet.
	facts map[*peer]bool
	// told is what other entries have at upstreams.
	told map[uint64]told
	// remote is the load of other regions, by the hash of the name.
	remote map[uint64]remoteLoad
	// remoteCalls is the work for other regions that was not told yet.
	remoteCalls map[uint64][]Share
	sums        sums
	off         mechanism.Off
	// nearWait is the mean time that prompts wait at engines of the own region.
	nearWait time.Duration
	// meanRead follows the time that a prompt needs.
	meanRead float64
}

func (pk *Picker) usualRead() time.Duration { return time.Duration(pk.meanRead) }

// New returns a picker for an entry's place.
func New(zo core.Zone, re core.Region, opts ...Option) *Picker {
	pk := &Picker{
		zone: zo, region: re, peers: map[core.UpstreamID]*peer{},
		pools: map[poolKey]*pool{}, reading: newReading(),
		told: map[uint64]told{}, remote: map[uint64]remoteLoad{}, remoteCalls: map[uint64][]Share{}, hashed: map[uint64]*peer{}, facts: map[*peer]bool{},
	}
	for _, opt := range opts {
		opt(pk)
	}
	return pk
}

// Option changes a Picker at construction.
type Option func(*Picker)

// Without switches mechanisms off.
func Without(off mechanism.Off) Option { return func(pk *Picker) { pk.off = off } }

// Pick returns the upstream for an attempt, or false when none is left. Draw
// returns a number from 0 to 1.
func (pk *Picker) Pick(now time.Time, hosts []core.Host, rq Request, draw func() float64) (core.Host, bool) {
	fi := pk.field(now, hosts, rq)
	best, least := -1, time.Duration(0)
	for i := range hosts {
		if slices.Contains(rq.Tried, hosts[i].ID) {
			continue
		}
		cost := pk.cost(now, &hosts[i], rq, fi) + time.Duration(draw()*float64(jitter))
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return core.Host{}, false
	}
	return hosts[best], true
}

// Expect returns the least expected time to the first byte of an answer from an
// engine: what waits there and the reading of what it does not keep. Engines of
// another region count only where the list has none of the own one.
func (pk *Picker) Expect(now time.Time, hosts []core.Host, rq Request) time.Duration {
	read, home, near := pk.reading.thousand(rq.Model), pk.home(now, hosts, rq), pk.anyNear(hosts)
	least := time.Duration(-1)
	for i := range hosts {
		pe := pk.peer(&hosts[i])
		if now.Before(pe.down) || near && pe.far {
			continue
		}
		fresh := rq.Prompt - pe.kept(now, rq)
		if hosts[i].ID == home {
			fresh = min(fresh, rq.Prompt-core.Tokens(homeShare*float64(shared(rq.Parts))))
		}
		_, pending := pk.work(now, pe)
		if cost := pending + scale(read, fresh); least < 0 || cost < least {
			least = cost
		}
	}
	return max(least, 0)
}

// Wait returns the least time that a prompt would wait at an engine before it is
// read: at one of the own region, or of another where that has none.
func (pk *Picker) Wait(now time.Time, hosts []core.Host) time.Duration {
	least, near := time.Duration(-1), false
	for i := range hosts {
		pe := pk.peer(&hosts[i])
		if now.Before(pe.down) || near && pe.far {
			continue
		}
		_, pending := pk.work(now, pe)
		if least < 0 || pending < least || !near && !pe.far {
			least = pending
		}
		near = near || !pe.far
	}
	return max(least, 0)
}

// anyNear reports whether any upstream of a list is in the own region.
func (pk *Picker) anyNear(hosts []core.Host) bool {
	return slices.ContainsFunc(hosts, func(ho core.Host) bool { return ho.Region == pk.region })
}

// Usual returns the usual time from sending to the header of an answer, or 0
// while too few were seen to rely on it.
func (pk *Picker) Usual(rq Request) time.Duration {
	pl := pk.pool(rq)
	if pl.count < trusted {
		return 0
	}
	return pl.usual(0)
}

// Avoided counts the upstreams of a list that work is kept from.
func (pk *Picker) Avoided(now time.Time, hosts []core.Host) int {
	sum := 0
	for i := range hosts {
		if pe := pk.peers[hosts[i].ID]; pe != nil && pe.avoids(now) {
			sum++
		}
	}
	return sum
}
