package meter

// The meters of gateways.
var (
	Exchanges = &Meter{"exchanges", Counter, []string{"code"},
		"Exchanges by how they ended: `answered`, or the code of the failure or refusal.",
		"the share of codes other than `answered` rises"}
	ExchangeTime = &Meter{"exchange-seconds", Histogram, nil,
		"From a request's arrival to its end.",
		"its 95th percentile nears the aims of the routes"}
	FirstByteTime = &Meter{"first-byte-seconds", Histogram, []string{"service"},
		"From a request's arrival to the header of the answer that its caller gets.",
		"its 95th percentile nears the aims of the routes"}
	GapTime = &Meter{"gap-seconds", Histogram, nil,
		"The pauses between two pieces of a stream, as they came from upstreams.",
		"its 95th percentile passes the longest good pause of the routes"}
	WaitTime = &Meter{"wait-seconds", Histogram, []string{"service"},
		"From a request's arrival to the sending of the attempt that was answered: what failed attempts and doubted answers cost. A gateway has no queue of its own; requests wait at upstreams.",
		"it grows while `first-byte-seconds` less it does not"}
	Attempts = &Meter{"attempts", Counter, []string{"verdict"},
		"Attempts by what came of them: `taken`, `unsure` (a larger model was asked), `failed`, `refused`, `stranger`, `unreached`, `absent` (nobody listens) or `lost`.",
		"`lost` is more than a few in a hundred exchanges"}
	Repeats = &Meter{"repeats", Counter, []string{"purpose", "granted"},
		"Repeats that were asked of the budget: for a `retry` of what failed, or a `climb` to a larger model.",
		"`granted=\"false\"` for retries: requests end with their first failure"}
	Resumptions = &Meter{"resumptions", Counter, []string{"outcome"},
		"Streams that broke and went on at another upstream, or did not.",
		"`no` rises"}
	StoreCallTime = &Meter{"store-call-seconds", Histogram, []string{"call", "outcome"},
		"Calls of the store. A `watch` waits for changes, up to 2.5 s.",
		"`outcome` other than `ok` rises"}
	StoreWatchFailed = &Meter{"store-watch-failed", Counter, nil,
		"Listings and watches of the store that failed.", "it rises together with `siblings-silent`: this host hears nothing"}
	SiblingsSilent = &Meter{"siblings-silent", Counter, nil,
		"Rounds in which no other entry answered this one, which cannot reach the store.", "see `store-watch-failed`"}
	RegisterFailed = &Meter{"register-failed", Counter, nil,
		"Writes of the process's own line of the list of entries that failed.", ""}
	InFlight      = &Meter{"in-flight", Gauge, nil, "Exchanges under way.", ""}
	ConfigVersion = &Meter{"configuration-version", Gauge, nil,
		"The version of the configuration in force.", "processes differ for longer than the bound"}
	NewsAge = &Meter{"news-age-seconds", Gauge, nil,
		"How long ago the copy of the store was known to be the newest.", "it is above 7 s"}
	Upstreams = &Meter{"upstreams", Gauge, []string{"service", "state"},
		"Upstreams by state: `serving`, `leaving`, `doubtful` (the line is gone, maybe by the store's own trouble), `evacuated` (its availability zone gets no new work), `avoided` (serving, but kept from work here).",
		"`serving` less `avoided` falls"}
	RollOutShare = &Meter{"roll-out-share", Gauge, []string{"service"},
		"The part of the new sessions that the version under roll-out may get; 1 once it is completed, 0 when it was rolled back.", ""}
	RepeatsLeft = &Meter{"repeats-left", Gauge, []string{"service"},
		"Repeats that this entry may still make in the present window.", "it is below 1"}
)

// The meters of entries and agents.
var (
	RequestsFailed = &Meter{"requests-failed", Counter, []string{"code", "ran"},
		"Requests that ended without an answer, by code and by what their callers were told.", "it rises"}
	RollOutsHalted   = &Meter{"roll-outs-halted", Counter, nil, "Roll-outs that the guard has halted.", "it rises"}
	ForeignFrames    = &Meter{"foreign-frames", Counter, nil, "Frames of another attempt that were dropped.", "it rises"}
	ForeignEvents    = &Meter{"foreign-events", Counter, nil, "Events of another attempt that an engine sent.", "it rises"}
	ClaimWrites      = &Meter{"claim-writes", Counter, nil, "Writes of claims to the store.", ""}
	ClaimsUnfinished = &Meter{"claims-unfinished", Counter, nil,
		"Answers of at-most-once operations that could not be stored at once.", "it rises"}
	ClaimsUnreleased = &Meter{"claims-unreleased", Counter, nil,
		"Claims of work that did not run and that could not be given back at once.", "it rises"}
	BillsLost          = &Meter{"bills-lost", Counter, nil, "Bills that were only logged.", "it is not 0"}
	LedgerWaitingBytes = &Meter{"ledger-waiting-bytes", Gauge, nil, "Bills that are not durable yet.", "it grows"}
	RatingsSkipped     = &Meter{"ratings-skipped", Counter, nil, "Answers that were not rated in time.", "it rises"}
)

// Catalogue lists all meters, those of gateways first.
func Catalogue() []*Meter {
	return []*Meter{
		Exchanges, ExchangeTime, FirstByteTime, GapTime, WaitTime, Attempts, Repeats, Resumptions,
		StoreCallTime, StoreWatchFailed, SiblingsSilent, RegisterFailed,
		InFlight, ConfigVersion, NewsAge, Upstreams, RollOutShare, RepeatsLeft,
		RequestsFailed, RollOutsHalted, ForeignFrames, ForeignEvents, ClaimWrites, ClaimsUnfinished, ClaimsUnreleased,
		BillsLost, LedgerWaitingBytes, RatingsSkipped,
	}
}
