package balance_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/balance"
)

// rankedPrompt is a prompt in an engine's queue.
type rankedPrompt struct {
	prefill, arrived time.Duration
	rank, seq        int
}

// runQueue simulates an engine that processes prompts by rank and arrival, one after the other, and
// returns how many of the short ones began within the target time, and how many long ones were
// processed at all.
func runQueue(ranked bool) (short, longDone int) {
	const interval, duration, target = 50 * time.Millisecond, 30 * time.Second, 4 * time.Second
	rn := rand.New(rand.NewPCG(7, 7))
	var arrivals []rankedPrompt
	for at := time.Duration(0); at < duration; at += interval {
		prefill := 30 * time.Millisecond
		if rn.Float64() < 0.05 {
			prefill = 1600 * time.Millisecond
		}
		rp := rankedPrompt{prefill: prefill, arrived: at, seq: len(arrivals)}
		if ranked {
			rp.rank = balance.Rank(0, prefill, rn.Float64())
		}
		arrivals = append(arrivals, rp)
	}
	var queue []rankedPrompt
	for now := time.Duration(0); now < duration; {
		for len(arrivals) > 0 && arrivals[0].arrived <= now {
			queue, arrivals = append(queue, arrivals[0]), arrivals[1:]
		}
		if len(queue) == 0 {
			now = arrivals[0].arrived
			continue
		}
		slices.SortStableFunc(queue, func(a, b rankedPrompt) int { return a.rank - b.rank })
		rp := queue[0]
		queue = queue[1:]
		now += rp.prefill
		switch {
		case rp.prefill > time.Second:
			longDone++
		case now-rp.arrived <= target:
			short++
		}
	}
	return short, longDone
}

// Twice as many prompts come as an engine can process, one in twenty of them fifty times as long as
// the others. In the order of arrival nearly all begin late. With ranks most of the short ones
// begin in time, and long ones are still processed.
func TestShortPromptsRankBeforeLongOnes(t *testing.T) {
	short, longDone := runQueue(false)
	rankedShort, rankedLong := runQueue(true)
	assert.Assert(t, rankedShort > 2*short, "%d short ones in time, %d without ranks", rankedShort, short)
	assert.Assert(t, rankedLong*4 >= longDone, "%d long ones processed, %d without ranks", rankedLong, longDone)
}

// A route's priority counts up to its maximum, and the rank stays within the range that engines
// accept.
func TestRankBounds(t *testing.T) {
	assert.Equal(t, balance.Rank(0, 0, 0.9), 0)
	assert.Equal(t, balance.Rank(-3, 0, 0.9), 0)
	assert.Equal(t, balance.Rank(1, 0, 0.9), 1)
	assert.Equal(t, balance.Rank(1, 200*time.Millisecond, 0.9), 2)
	assert.Equal(t, balance.Rank(1, time.Hour, 0.9), 4)
	assert.Equal(t, balance.Rank(1, time.Hour, 0.1), 1, "one in four is not moved back")
	assert.Equal(t, balance.Rank(100, time.Hour, 0.9), 7)
}
