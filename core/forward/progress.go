package forward

import (
	"errors"
	"strconv"
	"time"
)

// errNoProgress ends a stream that goes on without events.
var errNoProgress = errors.New("the stream goes on without new events")

// progress tells the events of a stream from what only keeps its connection busy: comments, and events that were
// sent before.
type progress struct {
	// id is the highest id of an event so far.
	id string
	// waited is how long the upstream has been waited for since the last new event, and bytes counts what has come.
	// What its caller takes does not count.
	waited time.Duration
	bytes  int
}

// restart begins anew with the stream of another upstream, which goes on after the last event.
func (pr *progress) restart() { pr.waited, pr.bytes = 0, 0 }

// observe records an event or a comment that has been waited for. It reports false once the stream has gone on for
// maxEventSize bytes without a new event.
func (pr *progress) observe(chunk []byte, waited time.Duration) bool {
	if id := eventID(chunk, ""); hasField(chunk) && isNewID(id, pr.id) {
		pr.id = id
		pr.restart()
		return true
	}
	pr.waited += waited
	pr.bytes += len(chunk)
	return pr.bytes <= maxEventSize
}

// isNewID reports whether an id follows the last one. Ids that are numbers increase; of others only a repetition
// can be told. In a stream whose events have ids, one without an id is not new.
func isNewID(id, last string) bool {
	if last == "" || id == "" {
		return id != "" || last == ""
	}
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err == nil && lastErr == nil {
		return number > lastNumber
	}
	return id != last
}
