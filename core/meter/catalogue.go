package meter

// The metrics of gateways.
var (
	Exchanges = &Metric{"exchanges", Counter, []string{"code"},
		"Exchanges by outcome: `answered`, or the code of the failure or refusal.",
		"the share of codes other than `answered` increases"}
	ExchangeTime = &Metric{"exchange-seconds", Histogram, nil,
		"Time from the arrival of a request to its end.",
		"its 95th percentile approaches the target latencies of the routes"}
	FirstByteTime = &Metric{"first-byte-seconds", Histogram, []string{"service"},
		"Time from the arrival of a request to the response header that its caller receives.",
		"its 95th percentile approaches the target latencies of the routes"}
	GapTime = &Metric{"gap-seconds", Histogram, nil,
		"Pauses between two chunks of a stream, as received from upstreams.",
		"its 95th percentile exceeds the longest acceptable pause of the routes"}
	WaitTime = &Metric{"wait-seconds", Histogram, []string{"service"},
		"Time from the arrival of a request to the start of the attempt whose response was used: the time lost to failed attempts and to answers that were escalated. A gateway has no queue of its own; requests wait at upstreams.",
		"it increases while `first-byte-seconds` minus this metric does not"}
	Attempts = &Metric{"attempts", Counter, []string{"verdict"},
		"Attempts by result: `taken`, `unsure` (escalated to a larger model), `failed`, `refused`, `stranger` (the address belongs to another upstream now), `unreached` (nothing was sent), `absent` (no process listens) or `lost`.",
		"`lost` exceeds a few percent of the exchanges"}
	Repeats = &Metric{"repeats", Counter, []string{"service", "purpose", "granted"},
		"Retries requested from the retry budget, by purpose: a `retry` of a failed attempt, a `climb` (escalation) to a larger model, or the `resume` of a broken stream.",
		"`granted=\"false\"` for the purpose `retry`: requests fail at their first failed attempt"}
	FirstModels = &Metric{"first-models", Counter, []string{"service", "model"},
		"Requests that may escalate, by the model of the cascade at which they start: the `smallest`, or the `largest` because the retry budget could not pay for an escalation.",
		"`largest` stays above a few percent later than a window after the start: the retry budget is too small for the share of answers that escalate"}
	Resumptions = &Metric{"resumptions", Counter, []string{"outcome"},
		"Broken streams, by whether they were resumed at another upstream.",
		"`no` increases"}
	StoreCallTime = &Metric{"store-call-seconds", Histogram, []string{"call", "outcome"},
		"Duration of store calls. A `watch` waits up to 2.5 s for changes.",
		"outcomes other than `ok` increase"}
	StoreWatchFailed = &Metric{"store-watch-failed", Counter, nil,
		"Failed listings and watches of the store.", "it increases together with `siblings-silent`: this host receives no updates"}
	SiblingsSilent = &Metric{"siblings-silent", Counter, nil,
		"Requests to siblings for updates, sent while the store does not answer, that no entry answered.", "see `store-watch-failed`"}
	RegisterFailed = &Metric{"register-failed", Counter, nil,
		"Failed writes of the process's own registration in the list of entries.", ""}
	InFlight      = &Metric{"in-flight", Gauge, nil, "Exchanges in progress.", ""}
	ConfigVersion = &Metric{"configuration-version", Gauge, nil,
		"Version of the configuration in force.", "processes differ for longer than the propagation bound"}
	ReplicaAge = &Metric{"news-age-seconds", Gauge, nil,
		"Time since the replica of the store was last confirmed up to date.", "it is above 7 s"}
	Upstreams = &Metric{"upstreams", Gauge, []string{"service", "state"},
		"Upstreams by state: `serving`, `leaving`, `doubtful` (its listing was removed, possibly by a store outage), `evacuated` (its availability zone receives no new work), `avoided` (serving, but excluded by this process), `limited` (serving, with a rate limit), `cooldown` (serving, but accepts no requests of this process until its Retry-After).",
		"`serving` minus `avoided` decreases"}
	RollOutShare = &Metric{"roll-out-share", Gauge, []string{"service"},
		"Fraction of new sessions that the version under roll-out may receive; 1 after completion, 0 after a rollback.", ""}
	RepeatsLeft = &Metric{"repeats-left", Gauge, []string{"service"},
		"Retries left to this entry in the current window of the retry budget.", "it is below 1"}
)

// The metrics of entries and agents.
var (
	RequestsFailed = &Metric{"requests-failed", Counter, []string{"code", "ran"},
		"Requests that ended without a response, by code and by whether the work ran according to the reply to the caller.", "it increases"}
	RollOutsHalted   = &Metric{"roll-outs-halted", Counter, nil, "Roll-outs halted by the guard.", "it increases"}
	ForeignFrames    = &Metric{"foreign-frames", Counter, nil, "Dropped frames that belong to another attempt.", "it increases"}
	ForeignEvents    = &Metric{"foreign-events", Counter, nil, "Events sent by an engine that belong to another attempt.", "it increases"}
	ClaimWrites      = &Metric{"claim-writes", Counter, nil, "Writes of claims to the store.", ""}
	ClaimsUnfinished = &Metric{"claims-unfinished", Counter, nil,
		"Answers of at-most-once operations that could not be stored at the first try.", "it increases"}
	ClaimsUnreleased = &Metric{"claims-unreleased", Counter, nil,
		"Claims for work that did not run that could not be released at the first try.", "it increases"}
	BillsLost          = &Metric{"bills-lost", Counter, nil, "Bills that were logged but not written to the ledger.", "it is not 0"}
	LedgerWaitingBytes = &Metric{"ledger-waiting-bytes", Gauge, nil, "Size of the bills that are not yet durable.", "it increases"}
	RatingsSkipped     = &Metric{"ratings-skipped", Counter, nil, "Answers that were not rated in time.", "it increases"}
)

// Catalogue lists all metrics, those of gateways first.
func Catalogue() []*Metric {
	return []*Metric{
		Exchanges, ExchangeTime, FirstByteTime, GapTime, WaitTime, Attempts, Repeats, FirstModels, Resumptions,
		StoreCallTime, StoreWatchFailed, SiblingsSilent, RegisterFailed,
		InFlight, ConfigVersion, ReplicaAge, Upstreams, RollOutShare, RepeatsLeft,
		RequestsFailed, RollOutsHalted, ForeignFrames, ForeignEvents, ClaimWrites, ClaimsUnfinished, ClaimsUnreleased,
		BillsLost, LedgerWaitingBytes, RatingsSkipped,
	}
}
