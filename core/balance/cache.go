package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
	"skylarkstand/core/rendezvous"
)

// prefixCache models the prefix cache of an engine, from the prompts that were sent there and from
// what the engine itself reports. The keys are hashes of a part's id with the model that processed
// it, the values the time of the last use. An engine holds a part only while it holds those before
// it, and evicts the least recently used; a wrong assumption costs the prefill of one prompt.
type prefixCache map[uint64]time.Time

const (
	// cacheTTL is how long a part is assumed to be cached after its last use.
	cacheTTL = 45 * time.Second
	// maxCachedParts bounds the memory for one engine to about 40 kB.
	maxCachedParts = 1024
)

func newPrefixCache() prefixCache { return prefixCache{} }

// partHash returns the key of a part in the prefix cache of a model.
func partHash(mo core.ModelID, id string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(string(mo))
	_, _ = dig.WriteString("\x00")
	_, _ = dig.WriteString(id)
	return dig.Sum64()
}

// cachedTokens returns the tokens of a prompt that are assumed to be cached at an upstream.
func (us *upstreamState) cachedTokens(now time.Time, rq Request) core.Tokens {
	var sum core.Tokens
	for _, pa := range rq.Parts {
		at, ok := us.cache[partHash(rq.Model, pa.ID)]
		if !ok || now.Sub(at) > cacheTTL {
			break
		}
		sum += pa.Tokens
	}
	return sum
}

// HasCompletePrompt reports whether any engine is assumed to have a complete prompt cached.
func (pk *Picker) HasCompletePrompt(now time.Time, hosts []core.Host, rq Request) bool {
	return slices.ContainsFunc(hosts, func(ho core.Host) bool { return pk.stateOf(&ho).cachedTokens(now, rq) >= rq.Prompt })
}

// recordPrompt records that an upstream processes a prompt, for this entry and, unless the prompt
// may not be disclosed in this region, for the announcement to the others.
func (pk *Picker) recordPrompt(now time.Time, us *upstreamState, rq Request) {
	for _, pa := range rq.Parts {
		hash := partHash(rq.Model, pa.ID)
		us.recordPart(now, hash)
		if !rq.RemoteOnly && len(pk.newParts) < maxUnannounced {
			pk.newParts = append(pk.newParts, CachedPart{Upstream: us.hash, Part: hash})
		}
	}
}

// RecordCached records the parts that an engine reports as cached.
func (pk *Picker) RecordCached(now time.Time, ho core.Host, held []core.CachedPart) {
	us := pk.stateOf(&ho)
	for _, pa := range held {
		us.recordPart(now, partHash(pa.Model, pa.Part.ID))
	}
}

func (us *upstreamState) recordPart(now time.Time, hash uint64) {
	if len(us.cache) >= maxCachedParts {
		us.cache.evict(now)
	}
	us.cache[hash] = now
}

// evict deletes the oldest parts until less than half of the maximum is left, in coarse steps of
// age.
func (ca prefixCache) evict(now time.Time) {
	for _, age := range []time.Duration{cacheTTL, cacheTTL / 4, 0} {
		for hash, at := range ca {
			if now.Sub(at) > age {
				delete(ca, hash)
			}
		}
		if len(ca) < maxCachedParts/2 {
			return
		}
	}
	clear(ca)
}

// sharedTokens returns the tokens of the parts that other requests may have in common: all but the
// last, which is the request's own.
func sharedTokens(parts []core.Part) core.Tokens {
	var sum core.Tokens
	for _, pa := range parts[:max(len(parts)-1, 0)] {
		sum += pa.Tokens
	}
	return sum
}

// preferredUpstream returns the upstream that all entries of a region prefer for a prompt: by
// rendezvous hashing of the model and the shared parts over the region's upstreams, or over all
// where the list has none there. It returns none while other entries announce which parts engines
// have processed: the assumption that this upstream has the prefix cached would then only hide how
// long the prefill takes.
func (pk *Picker) preferredUpstream(now time.Time, hosts []core.Host, rq Request) core.UpstreamID {
	if len(rq.Parts) < 2 || pk.off.Has(mechanism.PrefixAffinity) || pk.hasSiblingLoads(now) {
		return ""
	}
	key := string(rq.Model)
	for _, pa := range rq.Parts[:len(rq.Parts)-1] {
		key += "/" + pa.ID
	}
	best, most, hasLocal := core.UpstreamID(""), uint64(0), pk.anyLocal(hosts)
	for i := range hosts {
		if hasLocal && hosts[i].Region != pk.region {
			continue
		}
		if we := rendezvous.Weight(key, string(hosts[i].ID)); we >= most {
			best, most = hosts[i].ID, we
		}
	}
	return best
}
