package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

// writesPerSegment is what one segment costs the store in writes: the entry
// itself, and the chain's hint of its head.
const writesPerSegment = 2

// Interval returns the time between two segments of one entry process, from
// the writes a second that all ledgers together may take of the store and the
// number of live entries.
//
// The load it is made for is a fleet that grows while the store's rate does
// not: 360 entries that each wrote every two seconds would take 360 writes a
// second, and the store has several hundred for configuration, claims and
// bills together. Claims hold callers up and bills do not, so bills wait.
//
// There is a lower limit, because a small fleet gains nothing from smaller
// segments, and no upper one: a longer wait is what the operators' budget
// asks for. It lengthens the time in which a bill is lost when the entry and
// the agent with the copy both die.
func Interval(budget float64, live int, shortest time.Duration) time.Duration {
	if budget <= 0 {
		return shortest
	}
	secs := float64(writesPerSegment*max(live, 1)) / budget
	return max(shortest, time.Duration(secs*float64(time.Second)))
}

// phase returns when in an interval a process writes. Entries that a roll-out
// started in the same second would otherwise write in the same moment for ever.
func phase(self core.ProcessID, interval time.Duration) time.Duration {
	share := float64(xxhash.Sum64String(string(self))>>11) / (1 << 53)
	return time.Duration(share * float64(interval))
}
