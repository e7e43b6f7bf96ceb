package forward

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkstand/core"
	"skylarkstand/core/meter"
	"skylarkstand/core/retry"
)

// meters count what exchanges come to.
type meters struct {
	scope tally.Scope
	// took and gaps are recorded often.
	took, gaps tally.Histogram
}

func newMeters(scope tally.Scope) meters {
	return meters{scope: scope, took: meter.ExchangeTime.Histogram(scope), gaps: meter.GapTime.Histogram(scope)}
}

// ended counts an exchange by its code, which is empty for an answer.
func (me meters) ended(code core.Code, took time.Duration) {
	if code == "" {
		code = "answered"
	}
	meter.Exchanges.Inc(me.scope, string(code))
	if took > 0 {
		me.took.RecordDuration(took)
	}
}

// answered records when an answer began, and when its attempt was sent.
func (me meters) answered(sv core.ServiceID, wait, first time.Duration) {
	meter.WaitTime.Record(me.scope, wait, string(sv))
	meter.FirstByteTime.Record(me.scope, first, string(sv))
}

func (me meters) attempt(ve verdict) { meter.Attempts.Inc(me.scope, ve.String()) }

// repeat counts a question to the budget.
func (me meters) repeat(pu retry.Purpose, granted bool) {
	meter.Repeats.Inc(me.scope, pu.String(), strconv.FormatBool(granted))
}

// resumed counts a stream that broke.
func (me meters) resumed(ok bool) {
	outcome := "no"
	if ok {
		outcome = "yes"
	}
	meter.Resumptions.Inc(me.scope, outcome)
}

// String names a verdict in logs and metrics.
func (ve verdict) String() string {
	return [...]string{"taken", "failed", "refused", "stranger", "unreached", "absent", "lost", "unsure"}[ve]
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
func NewWindows(length time.Duration, ratio float64, slack func() float64) func() *retry.Window {
	return func() *retry.Window { return retry.NewWindow(length, ratio, slack) }
}
