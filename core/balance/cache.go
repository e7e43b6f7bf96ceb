package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/rendezvous"
)

// cache is what an engine is thought to keep of prompts: from what was sent
// there, and from what it told itself. The keys are hashes of a part's id with
// the model that read it, the values when it was used last. An engine keeps a
// part for as long as it keeps those before it; it forgets the least recently
// used, and what it forgot costs one prompt read anew.
type cache map[uint64]time.Time

const (
	// keptFor is how long a part is taken as kept after its last use.
	keptFor = 45 * time.Second
	// maxKept bounds the memory for one engine to about 40 kB.
	maxKept = 1024
)

func newCache() cache { return cache{} }

// partHash names a part that a model has read.
func partHash(mo core.ModelID, id string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(string(mo))
	_, _ = dig.WriteString("\x00")
	_, _ = dig.WriteString(id)
	return dig.Sum64()
}

// kept returns the tokens of a prompt that need not be read again.
func (pe *peer) kept(now time.Time, rq Request) core.Tokens {
	var sum core.Tokens
	for _, pa := range rq.Parts {
		at, ok := pe.cache[partHash(rq.Model, pa.ID)]
		if !ok || now.Sub(at) > keptFor {
			break
		}
		sum += pa.Tokens
	}
	return sum
}

// KeepsWhole reports whether an engine is thought to keep a whole prompt.
func (pk *Picker) KeepsWhole(now time.Time, hosts []core.Host, rq Request) bool {
	return slices.ContainsFunc(hosts, func(ho core.Host) bool { return pk.peer(&ho).kept(now, rq) >= rq.Prompt })
}

// keep notes that an upstream reads a prompt, for this entry and, where the prompt
// may be known in its region, the others.
func (pk *Picker) keep(now time.Time, pe *peer, rq Request) {
	for _, pa := range rq.Parts {
		hash := partHash(rq.Model, pa.ID)
		pe.keepPart(now, hash)
		if !rq.RemoteOnly && len(pk.recent) < maxRecent {
			pk.recent = append(pk.recent, Kept{Upstream: pe.hash, Part: hash})
		}
	}
}

// Holds notes what an engine tells that it keeps.
func (pk *Picker) Holds(now time.Time, ho core.Host, held []core.Held) {
	pe := pk.peer(&ho)
	for _, he := range held {
		pe.keepPart(now, partHash(he.Model, he.Part.ID))
	}
}

func (pe *peer) keepPart(now time.Time, hash uint64) {
	if len(pe.cache) >= maxKept {
		pe.cache.evict(now)
	}
	pe.cache[hash] = now
}

// evict drops what is older than half of what is kept, roughly.
func (ca cache) evict(now time.Time) {
	for _, age := range []time.Duration{keptFor, keptFor / 4, 0} {
		for hash, at := range ca {
			if now.Sub(at) > age {
				delete(ca, hash)
			}
		}
		if len(ca) < maxKept/2 {
			return
		}
	}
	clear(ca)
}

// shared is the tokens of the parts that other requests may have: all but the
// last, which is the request's own.
func shared(parts []core.Part) core.Tokens {
	var sum core.Tokens
	for _, pa := range parts[:max(len(parts)-1, 0)] {
		sum += pa.Tokens
	}
	return sum
}

// home returns the upstream that all entries of a region prefer for a prompt:
// by rendezvous over the region's upstreams, or over all where the list has none
// there, of the model and the parts that are shared. There is none while other
// entries tell what engines have read: what is assumed then only hides how long the
// prompt takes to be read.
func (pk *Picker) home(now time.Time, hosts []core.Host, rq Request) core.UpstreamID {
	if len(rq.Parts) < 2 || pk.off.Has(mechanism.PrefixHomes) || pk.hears(now) {
		return ""
	}
	key := string(rq.Model)
	for _, pa := range rq.Parts[:len(rq.Parts)-1] {
		key += "/" + pa.ID
	}
	best, most, near := core.UpstreamID(""), uint64(0), pk.anyNear(hosts)
	for i := range hosts {
		if near && hosts[i].Region != pk.region {
			continue
		}
		if we := rendezvous.Weight(key, string(hosts[i].ID)); we >= most {
			best, most = hosts[i].ID, we
		}
	}
	return best
}
