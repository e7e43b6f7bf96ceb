// Package swarm runs the entries of a fleet in one process, to show how the load of the store, the
// messages between entries and the time until all entries know a change grow with their number.
//
// The entries' real replica, choice of readers, registration, gossip and transfers run in it. The store
// and the network are models: they delay, count and reject calls, and a host's link has a bandwidth. It
// is made for a testing/synctest bubble, whose clock takes no time.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		sw := swarm.New(swarm.Entries(360))
//		defer sw.Close()
//		sw.StartAll()
//		version := sw.Configure()
//		ok := sw.AwaitVersion(version, 4*time.Second)
//		us := sw.Usage()
//	})
package swarm

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/route"
)

// Zones and regions of the swarm's entries. The store is in the region near.
var regions = map[core.Zone]core.Region{
	"near-a": "near", "near-b": "near", "near-c": "near", "far-a": "far", "far-b": "far", "far-c": "far",
}

var zones = []core.Zone{"near-a", "far-a", "near-b", "far-b", "near-c", "far-c"}

const (
	// seedCount is the number of entries that the others get their first copy from.
	seedCount = 3
	// upstreamsPerEntry is the number of keys of other writers that the store holds for each entry.
	upstreamsPerEntry = 2
	// documentSize is the size of a configuration in bytes.
	documentSize = 100 << 10
	// documentNoise of documentPeriod bytes of a configuration are random, so that it compresses about as
	// well as routes do.
	documentNoise, documentPeriod = 6, 24
	// pollInterval is how often the await functions look.
	pollInterval = 100 * time.Millisecond
)

// Swarm is a fleet of entries with a store and a network.
type Swarm struct {
	st      *store
	nw      *network
	entries []*entry
	version route.Version
	ctx     context.Context //nolint:containedctx // It is the lifetime of the swarm's goroutines.
	cancel  context.CancelFunc
}

// Option configures a Swarm.
type Option func(*Swarm)

// Entries sets the number of entries.
func Entries(n int) Option {
	return func(sw *Swarm) {
		sw.entries = nil
		for i := range n {
			sw.entries = append(sw.entries, &entry{
				sw: sw, zone: zones[i%len(zones)], addr: fmt.Sprintf("10.%d.%d.%d:7340", i%len(zones), i/250, i%250),
			})
		}
	}
}

// New returns a swarm whose entries have not started.
func New(opts ...Option) *Swarm {
	sw := &Swarm{st: newStore()}
	sw.nw = newNetwork()
	sw.ctx, sw.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(sw)
	}
	for i := range upstreamsPerEntry * len(sw.entries) {
		sw.st.put(fmt.Sprint("upstreams/", i), make([]byte, 250))
	}
	sw.Configure()
	return sw
}

// Close stops all entries. The goroutines end within some seconds of the bubble's time.
func (sw *Swarm) Close() {
	sw.cancel()
	for _, en := range sw.entries {
		en.stop()
	}
	time.Sleep(10 * time.Second)
}

// StartAll starts all entries within 0.3 s.
func (sw *Swarm) StartAll() {
	for _, en := range sw.entries {
		en.start()
		time.Sleep(300 * time.Millisecond / time.Duration(len(sw.entries)))
	}
}

// Stop stops the entries from first to last, exclusively, without notice.
func (sw *Swarm) Stop(first, last int) {
	for _, en := range sw.entries[first:last] {
		en.stop()
	}
}

// Start starts the entries from first to last, exclusively, as new processes.
func (sw *Swarm) Start(first, last int) {
	for _, en := range sw.entries[first:last] {
		en.start()
	}
}

// Reject makes the store reject every n-th entry; 0 rejects none.
func (sw *Swarm) Reject(n int) {
	sw.rejectIf(func(i int, _ *entry) bool { return n > 0 && i%n == 0 })
}

// RejectReaders makes the store reject the entries that are readers of the region far now.
func (sw *Swarm) RejectReaders() {
	now := time.Now()
	sw.rejectIf(func(_ int, en *entry) bool {
		return regions[en.zone] == "far" && en.running && en.readers.IsReader(now)
	})
}

func (sw *Swarm) rejectIf(fn func(i int, en *entry) bool) {
	rejected := map[string]bool{}
	for i, en := range sw.entries {
		if fn(i, en) {
			rejected[en.addr] = true
		}
	}
	sw.st.setRejected(rejected)
}

// Configure writes a new configuration and returns its version.
func (sw *Swarm) Configure() route.Version {
	sw.version++
	rnd := rand.New(rand.NewPCG(uint64(sw.version), 1))
	doc := make([]byte, documentSize)
	for i := range doc {
		doc[i] = byte('a' + i%documentPeriod)
		if i%documentPeriod < documentNoise {
			doc[i] = byte('a' + rnd.IntN(26))
		}
	}
	copy(doc, fmt.Sprintf("%-16d", sw.version))
	sw.st.put(configKey, doc)
	return sw.version
}

// AwaitVersion waits until all running entries have a configuration, and returns how long that took.
// The result is false after the time limit.
func (sw *Swarm) AwaitVersion(ve route.Version, limit time.Duration) (time.Duration, bool) {
	return sw.await(limit, func(en *entry) bool {
		tb := en.inForce.Current()
		return tb != nil && tb.Version >= ve
	})
}

// AwaitListed waits until all running entries know all of them.
func (sw *Swarm) AwaitListed(limit time.Duration) (time.Duration, bool) {
	running := 0
	for _, en := range sw.entries {
		if en.running {
			running++
		}
	}
	return sw.await(limit, func(en *entry) bool { return en.handler.EntryCount() >= running && en.handler.IsRegistered(en.id) })
}

func (sw *Swarm) await(limit time.Duration, done func(en *entry) bool) (time.Duration, bool) {
	began := time.Now()
	for {
		all := true
		for _, en := range sw.entries {
			all = all && (!en.running || done(en))
		}
		took := time.Since(began)
		if all || took >= limit {
			return took, all
		}
		time.Sleep(pollInterval)
	}
}

// Usage is what was used since the last call of [Swarm.Usage].
type Usage struct {
	// StoreCalls counts the calls of the store, with each page of a listing.
	StoreCalls int
	// Datagrams and Requests count the messages between entries.
	Datagrams, Requests int
	// Bytes is the size of the responses between entries, and MostBytes that of the entry that sent most.
	Bytes, MostBytes int
}

// Usage returns what was used since the last call.
func (sw *Swarm) Usage() Usage {
	us := sw.nw.takeUsage()
	us.StoreCalls = sw.st.takeCalls()
	return us
}
