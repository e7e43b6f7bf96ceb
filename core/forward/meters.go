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

// meters records the metrics of exchanges.
type meters struct {
	scope tally.Scope
	// took and gaps are looked up once, since they are recorded often.
	took, gaps tally.Histogram
}

func newMeters(scope tally.Scope) meters {
	return meters{scope: scope, took: meter.ExchangeTime.Histogram(scope), gaps: meter.GapTime.Histogram(scope)}
}

// ended counts an exchange by its failure code, which is empty for an answer.
func (me meters) ended(code core.Code, took time.Duration) {
	if code == "" {
		code = "answered"
	}
	meter.Exchanges.Inc(me.scope, string(code))
	if took > 0 {
		me.took.RecordDuration(took)
	}
}

// answered records two times since a request's arrival: until the last attempt was sent, and until
// the answer began.
func (me meters) answered(sv core.ServiceID, wait, first time.Duration) {
	meter.WaitTime.Record(me.scope, wait, string(sv))
	meter.FirstByteTime.Record(me.scope, first, string(sv))
}

func (me meters) attempt(ve verdict) { meter.Attempts.Inc(me.scope, ve.String()) }

// budgetDecision counts a request to the retry budget.
func (me meters) budgetDecision(sv core.ServiceID, pu retry.Purpose, granted bool) {
	meter.Repeats.Inc(me.scope, string(sv), pu.String(), strconv.FormatBool(granted))
}

// firstModel counts a request that may escalate by the model at which it starts.
func (me meters) firstModel(sv core.ServiceID, stage int) {
	model := "smallest"
	if stage > 0 {
		model = "largest"
	}
	meter.FirstModels.Inc(me.scope, string(sv), model)
}

// resumed counts a broken stream by whether it was resumed.
func (me meters) resumed(ok bool) {
	outcome := "no"
	if ok {
		outcome = "yes"
	}
	meter.Resumptions.Inc(me.scope, outcome)
}

// String returns the verdict's name in logs and metrics.
func (ve verdict) String() string {
	return [...]string{"taken", "failed", "refused", "stranger", "unreached", "absent", "lost", "unsure"}[ve]
}

// jitterFraction returns a random number from 0 to 1. Unlike draw, it is not used to choose
// upstreams.
func (fw *Forwarder) jitterFraction() float64 { return rand.Float64() }

// countArrival counts a request in the retry window of its service.
func (fw *Forwarder) countArrival(jb *job) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	jb.retries = fw.retryWindow(jb.service).Begin(time.Now())
}

// RetryWindows returns a function that makes the retry window of a service.
func RetryWindows(length time.Duration, ratio float64, slack func(time.Time) float64) func() *retry.Window {
	return func() *retry.Window { return retry.NewWindow(length, ratio, slack) }
}
