package sibling

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/balance"
	"skylarkstand/core/mirror"
)

// What an entry tells must arrive as it was told, and bytes that no entry of
// this release sent must be passed over: a wrong load would turn all callers of
// a region away from an idle upstream.
func TestDatagrams(t *testing.T) {
	lo := balance.Load{
		Shares:  []balance.Share{{Upstream: 1 << 60, Own: 3, Pending: 250 * time.Millisecond}, {Upstream: 7, Own: 70_000, Pending: time.Hour}},
		Kept:    []balance.Kept{{Upstream: 7, Part: 1 << 63}},
		Budgets: []balance.Budget{{Service: 1 << 61, Left: -3}, {Service: 2, Left: 40}},
	}
	wo := mirror.Digest{Revision: 1 << 40, Age: 2 * time.Second, Contact: 40 * time.Millisecond}
	data := encode(42, wo, lo)
	from, word, got, ok := decode(data)
	assert.Assert(t, ok)
	assert.Equal(t, word, wo)
	assert.Equal(t, from, uint64(42))
	lo.Shares[1].Own, lo.Shares[1].Pending = maxUnits, maxUnits*pendingUnit
	assert.DeepEqual(t, got, lo)
	for n := range data {
		_, _, _, ok := decode(data[:n])
		assert.Assert(t, !ok || n == headSize+2*shareSize+2*budgetSize, "%d bytes", n)
	}
	data[0]++
	_, _, _, ok = decode(data)
	assert.Assert(t, !ok)
	wo = mirror.Digest{Age: time.Hour, Contact: mirror.NoContact}
	_, word, _, _ = decode(encode(42, wo, lo))
	assert.Equal(t, word, mirror.Digest{Age: maxUnits * digestUnit, Contact: mirror.NoContact})
}

// An entry has attempts at more upstreams than a packet holds. What fits must be
// told, in one packet.
func TestDatagramStaysSmall(t *testing.T) {
	var lo balance.Load
	for i := range 500 {
		lo.Shares = append(lo.Shares, balance.Share{Upstream: balance.HashOf("x"), Own: i})
		lo.Kept = append(lo.Kept, balance.Kept{Part: uint64(i)})
		lo.Budgets = append(lo.Budgets, balance.Budget{Left: 1e9})
	}
	data := encode(1, mirror.Digest{}, lo)
	assert.Assert(t, len(data) <= 1472, "%d", len(data))
	_, _, got, ok := decode(data)
	assert.Assert(t, ok)
	assert.Equal(t, fmt.Sprint(len(got.Shares), " ", len(got.Kept)), "64 36")
}

// Guards against facts of an upstream that arrive changed, or bytes that are taken
// for facts: a rest that nobody told of keeps a sound upstream idle.
func TestFactsArriveAsTold(t *testing.T) {
	facts := []balance.Fact{{Upstream: 1 << 63, Start: 9, Rest: 400 * time.Millisecond, Away: 2}, {Upstream: 3}}
	data := encodeFacts(facts)
	got, ok := decodeFacts(data)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, facts)
	got, ok = decodeFacts(encodeFacts([]balance.Fact{{Upstream: 1, Rest: time.Millisecond}}))
	assert.Assert(t, ok && got[0].Rest > 0, "a short rest is no answer")
	_, ok = decodeFacts(data[:len(data)-1])
	assert.Assert(t, !ok)
	_, ok = decodeFacts(encode(1, mirror.Digest{}, balance.Load{}))
	assert.Assert(t, !ok)
	_, _, _, ok = decode(data)
	assert.Assert(t, !ok)
	assert.Assert(t, len(encodeFacts(make([]balance.Fact, 500))) <= 1472)
}

// Guards against calls that are told as others than were sent.
func TestCallsArriveAsTold(t *testing.T) {
	sent := []balance.Share{{Upstream: 1 << 62, Own: 1, Pending: 700 * time.Millisecond}, {Upstream: 5, Own: 1}}
	data := encodeSent(42, sent)
	from, got, ok := decodeSent(data)
	assert.Assert(t, ok)
	assert.Equal(t, from, uint64(42))
	assert.DeepEqual(t, got, sent)
	_, _, ok = decodeSent(data[:len(data)-1])
	assert.Assert(t, !ok)
	_, _, ok = decodeSent(encodeFacts([]balance.Fact{{}}))
	assert.Assert(t, !ok)
	assert.Assert(t, len(encodeSent(1, make([]balance.Share, 500))) <= 1472)
}
