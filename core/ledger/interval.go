package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
	"skylarkstand/core/chain"
)

// writesPerSegment is the number of store writes that one segment takes: the entry itself, and its
// share of the update of the chain's head.
const writesPerSegment = 1 + 1.0/chain.HeadInterval

// Interval returns the time between two segments of one entry process, from the writes per second
// that all ledgers together may use and the number of live entries.
//
// It is designed for a fleet that grows while the store's write rate does not: 360 entries that
// each wrote every two seconds would take 360 writes a second, and the store accepts several
// hundred for configuration, claims and bills together. Claims delay callers and bills do not, so
// bills wait.
//
// There is a lower limit, because a small fleet gains nothing from smaller segments, but no upper
// one: the operators' budget determines the wait. A longer wait lengthens the time in which a bill
// is lost if the entry and the agent with the copy both die.
func Interval(budget float64, live int, minInterval time.Duration) time.Duration {
	if budget <= 0 {
		return minInterval
	}
	secs := writesPerSegment * float64(max(live, 1)) / budget
	return max(minInterval, time.Duration(secs*float64(time.Second)))
}

// phase returns the offset within the interval at which a process writes. Without it, entries that
// a roll-out started in the same second would always write at the same moment.
func phase(self core.ProcessID, interval time.Duration) time.Duration {
	share := float64(xxhash.Sum64String(string(self))>>11) / (1 << 53)
	return time.Duration(share * float64(interval))
}
