package forward

import (
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkstand/core"
	"skylarkstand/core/retry"
)

// meters are the counters and histograms of exchanges.
type meters struct {
	scope tally.Scope
	took  tally.Histogram
}

// latencies are the bounds of the histograms: doubling from 5 ms to 40 s.
var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)

func newMeters(scope tally.Scope) meters {
	return meters{scope: scope, took: scope.Histogram("exchange-time", latencies)}
}

// ended counts an exchange by its code, which is empty for an answer.
func (me meters) ended(code core.Code, took time.Duration) {
	if code == "" {
		code = "answered"
	}
	me.scope.Tagged(map[string]string{"code": string(code)}).Counter("exchanges").Inc(1)
	if took > 0 {
		me.took.RecordDuration(took)
	}
}

func (me meters) attemptFailed(ve verdict) {
	me.scope.Tagged(map[string]string{"verdict": ve.String()}).Counter("attempts-failed").Inc(1)
}

// String names a verdict in logs and metrics.
func (ve verdict) String() string {
	return [...]string{"taken", "failed", "refused", "stranger", "unreached", "lost", "unsure"}[ve]
}

// drawn is a random number for what is no choice of an upstream.
func (fw *Forwarder) drawn() float64 { return rand.Float64() }

// arrived counts a request for its service.
func (fw *Forwarder) arrived(jb *job) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.window(jb.service).Arrived(time.Now())
}

// NewWindows returns what makes a window of repeats for each service.
func NewWindows(length time.Duration, ratio, slack float64) func() *retry.Window {
	return func() *retry.Window { return retry.NewWindow(length, ratio, slack) }
}
