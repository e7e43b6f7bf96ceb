package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
	"skylarkstand/core/rendezvous"
)

// cache is what an engine is thought to keep of prompts, from what was sent
// there: the hash of a row of parts with the model that read them, and when it
// was used last. The engine forgets the least recently used; what it forgot
// costs one prompt read anew.
type cache map[uint64]time.Time

const (
	// keptFor is how long a part is taken as kept after its last use.
	keptFor = 45 * time.Second
	// maxKept bounds the memory for one engine to about 40 kB.
	maxKept = 1024
)

func newCache() cache { return cache{} }

// chain returns the hash of each row of parts from the first.
func chain(mo core.ModelID, parts []core.Part, each func(hash uint64, part core.Part) bool) {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(string(mo))
	for _, pa := range parts {
		_, _ = dig.WriteString("\x00")
		_, _ = dig.WriteString(pa.ID)
		if !each(dig.Sum64(), pa) {
			return
		}
	}
}

// kept returns the tokens of a prompt that need not be read again.
func (pe *peer) kept(now time.Time, rq Request) core.Tokens {
	var sum core.Tokens
	chain(rq.Model, rq.Parts, func(hash uint64, pa core.Part) bool {
		at, ok := pe.cache[hash]
		if !ok || now.Sub(at) > keptFor {
			return false
		}
		sum += pa.Tokens
		return true
	})
	return sum
}

// keep notes that an upstream reads a prompt, for this entry and the others.
func (pk *Picker) keep(now time.Time, pe *peer, rq Request) {
	chain(rq.Model, rq.Parts, func(hash uint64, _ core.Part) bool {
		pe.keepRow(now, hash)
		if len(pk.recent) < maxRecent {
			pk.recent = append(pk.recent, Kept{Upstream: pe.hash, Parts: hash})
		}
		return true
	})
}

func (pe *peer) keepRow(now time.Time, hash uint64) {
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
// by rendezvous over the region's upstreams, of the model and the parts that
// are shared.
func (pk *Picker) home(hosts []core.Host, rq Request) core.UpstreamID {
	if len(rq.Parts) < 2 {
		return ""
	}
	key := string(rq.Model)
	for _, pa := range rq.Parts[:len(rq.Parts)-1] {
		key += "/" + pa.ID
	}
	best, most := core.UpstreamID(""), uint64(0)
	for i := range hosts {
		if hosts[i].Region != pk.region {
			continue
		}
		if we := rendezvous.Weight(key, string(hosts[i].ID)); we >= most {
			best, most = hosts[i].ID, we
		}
	}
	return best
}
