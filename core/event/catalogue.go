package event

import "log/slog"

// The events. Numbers below 200 concern the process, below 300 links and upstreams, below 400 the
// configuration, below 500 the store, claims and the ledger, below 600 requests.
var (
	Started = &Event{100, "started", slog.LevelInfo,
		"The process has started and listens for connections.", "Nothing."}
	Stopping = &Event{101, "stopping", slog.LevelInfo,
		"A planned stop has begun; the listeners drain.", "Nothing."}
	Stopped = &Event{102, "stopped", slog.LevelInfo,
		"All in-flight work has ended and the process exits.", "Nothing."}
	DutyFailed = &Event{103, "duty-failed", slog.LevelError,
		"A service of the supervisor tree failed and is restarted, or a request handler panicked.", "Report it if it repeats."}
	Reloaded = &Event{105, "reloaded", slog.LevelInfo,
		"The settings file was reloaded; the settings that may change at run time are in force.", "Nothing."}
	ReloadRefused = &Event{106, "reload-refused", slog.LevelError,
		"The settings file is invalid; the settings in force stay.", "Correct the file; the line lists all errors."}
	LogDropped = &Event{107, "log-dropped", slog.LevelWarn,
		"Lines of the event `of` were dropped, because a limit on log lines was exceeded or the reader of the log is too slow; `lines` is their number.", "Nothing; the metrics count every request."}
	DrainCut = &Event{104, "drain-cut", slog.LevelError,
		"A planned stop reached its time limit and cut off in-flight work.", "Raise `drain-limit` above the duration of the longest answer."}
	LinkUp = &Event{200, "link-up", slog.LevelInfo,
		"A link to a peer was opened.", "Nothing."}
	LinkDown = &Event{201, "link-down", slog.LevelWarn,
		"A link to a peer was lost.", "Check the peer if the link is not opened again."}
	UpstreamLeaving = &Event{202, "upstream-leaving", slog.LevelInfo,
		"An upstream accepts no new work from now on.", "Nothing."}
	UpstreamDown = &Event{203, "upstream-down", slog.LevelWarn,
		"An agent cannot reach its upstream.", "Check the engine or service."}
	HostsAway = &Event{204, "hosts-away", slog.LevelWarn,
		"The platform's host list cannot be read; the last known list stays in use.", "Check the platform."}
	ForeignFrame = &Event{205, "foreign-frame", slog.LevelWarn,
		"A frame or event of a different attempt was received and dropped.", "Report it if it repeats."}
	PeerUp = &Event{206, "peer-up", slog.LevelInfo,
		"A link to another entry was opened.", "Nothing."}
	PeerDown = &Event{207, "peer-down", slog.LevelWarn,
		"A link to another entry was lost.", "Check that entry if the link is not opened again."}
	UpstreamCrashed = &Event{208, "upstream-crashed", slog.LevelWarn,
		"An upstream crashed with a request in flight; the request is retried once with nothing else running beside it, or not at all if it already ran alone.",
		"Check the engine if it repeats; the fingerprint identifies the request."}
	OrderPassed = &Event{209, "order-passed", slog.LevelInfo,
		"An order was forwarded to the engine.", "Nothing."}
	OrderRefused = &Event{210, "order-refused", slog.LevelWarn,
		"An order was not forwarded, or the engine refused it.", "Repeat the order if it still applies; a newer order may have replaced it."}
	ConfigAdopted = &Event{300, "configuration-adopted", slog.LevelInfo,
		"A newer configuration is in force in this process.", "Nothing."}
	ConfigBroken = &Event{301, "configuration-broken", slog.LevelError,
		"A generation of the configuration could not be read; the previous one stays in force.", "Roll the configuration back."}
	ConfigStale = &Event{302, "configuration-stale", slog.LevelWarn,
		"The configuration was not confirmed as the newest for longer than the freshness bound; versions under roll-out get no new sessions.",
		"Check the store and the links."}
	RollOutHalted = &Event{340, "roll-out-halted", slog.LevelWarn,
		"The guard has halted a roll-out: this process sends no new sessions to its version from now on.",
		"Check the version and withdraw it, or clear `halted` to continue."}
	HaltRecorded = &Event{341, "halt-recorded", slog.LevelInfo,
		"A halt of the guard was written into the configuration and propagates to all processes.", "Nothing."}
	CanaryOrdered = &Event{343, "canary-ordered", slog.LevelInfo,
		"An operator ordered the roll-out of a version of a service.", "Nothing."}
	CanaryStatus = &Event{344, "canary-status", slog.LevelInfo,
		"A roll-out's status in the store has changed.", "Nothing."}
	CanaryStep = &Event{345, "canary-step", slog.LevelInfo,
		"A roll-out has reached its next step; the new version gets a larger share.", "Nothing."}
	CanaryWritten = &Event{346, "canary-written", slog.LevelInfo,
		"This process wrote a roll-out's next step or status; `why` is the evidence.", "Check the version if it was rolled back."}
	EntryMalformed = &Event{347, "entry-malformed", slog.LevelWarn,
		"A key of the store has a malformed value. An upstream's key is treated as missing; a configuration's key leaves the one in force.",
		"Find out which program writes the key."}
	UpstreamListed = &Event{348, "upstream-listed", slog.LevelInfo,
		"An upstream's entry in the list is new or has changed.", "Nothing."}
	UpstreamGone = &Event{349, "upstream-gone", slog.LevelInfo,
		"An upstream's entry was removed from the list. If `doubtful`, a fault of the store may be the cause, and the upstream is used until it has registered again or is known to be gone.", "Nothing."}
	UpstreamAvoided = &Event{350, "upstream-avoided", slog.LevelWarn,
		"This entry sends no work to an upstream while others are available: `why` is the outcome that led to it, `failing` the recent failure rate.",
		"Check the upstream if other entries avoid it too."}
	MemoryRecalled = &Event{353, "memory-recalled", slog.LevelInfo,
		"This entry has just started, and an engine reported which parts of prompts are in its prefix cache.", "Nothing."}
	MemoryUnknown = &Event{354, "memory-unknown", slog.LevelInfo,
		"This entry has just started, and an engine did not report the contents of its prefix cache; prompts that it has cached may be prefilled again.", "Nothing."}
	WarmupAsked = &Event{372, "warmup-asked", slog.LevelInfo,
		"This entry has just started, and an upstream answered that it is cold; it gets no request from this entry until it is warm.", "Nothing."}
	WarmupUnknown = &Event{371, "warmup-unknown", slog.LevelInfo,
		"This entry has just started, and an upstream did not answer whether it is cold; it gets one request at a time until it would be warm in any case.", "Nothing."}
	UpstreamTrusted = &Event{351, "upstream-trusted", slog.LevelInfo,
		"An avoided upstream gave a complete answer and is used like the others again.", "Nothing."}
	CanaryHeld = &Event{352, "canary-held", slog.LevelWarn,
		"This entry considers a version under roll-out faulty and sends it no new requests; `why` is the evidence.",
		"Check the version."}
	UpstreamCold = &Event{357, "upstream-cold", slog.LevelInfo,
		"An upstream has started or is cold again, and gets only few requests for the time `cold-for` (negative: the duration that its service declares), shared by as many entries as `entries` says. Without `exact`, this entry sends it none during that time.", "Nothing."}
	UpstreamLimited = &Event{358, "upstream-limited", slog.LevelWarn,
		"An upstream reported in a response how many requests a second it accepts from all entries together (`limit`), or changed that number; `by` is `answer` if this entry received the response and `sibling` if another one did. This entry keeps to its share of the limit from now on.",
		"Find out what keeps the upstream from its usual capacity."}
	UpstreamUnlimited = &Event{359, "upstream-unlimited", slog.LevelInfo,
		"An upstream's responses contain no rate limit any more.", "Nothing."}
	UpstreamCooldown = &Event{360, "upstream-cooldown", slog.LevelWarn,
		"An upstream refused a request with a Retry-After; this entry sends it none for the time `retry-after`.",
		"Find out what keeps the upstream from its usual capacity."}
	UpstreamDraining = &Event{361, "upstream-draining", slog.LevelInfo,
		"An upstream reported in a response that it is draining; it gets no new work until it has restarted. `by` is `answer` if this entry received the response and `sibling` if another one did.", "Nothing."}
	CanaryLoadLimited = &Event{362, "canary-load-limited", slog.LevelWarn,
		"The upstreams of a version that a roll-out brought fail more often under load. Each of them gets no more requests at a time than up to the load `level`, in eighths of its slots or in slots if it has fewer, while any other accepts them; `why` lists the failures by level.",
		"Roll out a version that bears the load, or the one of before."}
	ZoneEvacuated = &Event{355, "zone-evacuated", slog.LevelWarn,
		"An availability zone gets no new work from now on; requests that run there are completed.", "Nothing."}
	ZoneRestored = &Event{356, "zone-restored", slog.LevelInfo,
		"The evacuation of an availability zone has ended.", "Nothing."}
	HaltPending = &Event{342, "halt-pending", slog.LevelWarn,
		"A halt could not be written into the configuration yet; it is in force in this process and the write is retried.",
		"Check the store."}
	StoreDown = &Event{400, "store-down", slog.LevelWarn,
		"The store cannot be reached.", "Check the platform."}
	StoreBack = &Event{403, "store-back", slog.LevelInfo,
		"The store responds again; `away` is how long it did not.", "Nothing."}
	MirrorListed = &Event{404, "mirror-listed", slog.LevelInfo,
		"The local replica of the store was loaded completely, at the start or because the store has dropped its history.", "Nothing."}
	MirrorBySibling = &Event{405, "mirror-by-sibling", slog.LevelInfo,
		"A full copy of the store was received from another entry: at the start, because this entry lagged behind, or because the store does not respond to it.", "Check the connection to the store if it repeats."}
	Registered = &Event{407, "registered", slog.LevelInfo,
		"The process has written changes of the store's list of entries; `added` and `removed` are their numbers.", "Nothing."}
	NoSeed = &Event{416, "no-seed", slog.LevelInfo,
		"No entry provided a first copy of the store; the process lists the store itself.", "Nothing; check the setting `seeds` if it repeats."}
	StoreWriteLate = &Event{406, "store-write-late", slog.LevelWarn,
		"The store did not accept a write that is due; it is retried.", "Check the store."}
	SegmentWritten = &Event{401, "segment-written", slog.LevelDebug,
		"A ledger segment is durable.", "Nothing."}
	SegmentLate = &Event{402, "segment-late", slog.LevelWarn,
		"A ledger segment could not be written yet; its bills are kept and the write is retried.", "Check the store."}
	LedgerSealed = &Event{440, "ledger-sealed", slog.LevelWarn,
		"Other processes considered this one gone and sealed its ledger; its bills go into its takeover chain from now on.",
		"Find out what paused the process or cut its links."}
	TakeoverFiled = &Event{441, "takeover-filed", slog.LevelInfo,
		"The bills that agents held of a gone process were checked against its ledger, and the missing ones were filed.", "Nothing."}
	TakeoverLate = &Event{442, "takeover-late", slog.LevelWarn,
		"Bills of a gone process could not be filed yet; agents keep them and submit them again.", "Check the store."}
	CopyDropped = &Event{443, "copy-dropped", slog.LevelWarn,
		"An agent has no space for the copy of a bill; only the entry has it until it is durable.", "Check the store."}
	CopiesLeft = &Event{444, "copies-left", slog.LevelError,
		"An agent stopped while it held copies of bills of gone entries that no other entry could file.",
		"Check the store; bills of the entry that failed last may be missing."}
	ClaimsBroken = &Event{420, "claims-broken", slog.LevelError,
		"A bucket or segment of claims cannot be read; requests with its keys are refused and not run.", "Check the store: another program wrote under `claims/`."}
	ClaimUnfinished = &Event{421, "claim-unfinished", slog.LevelWarn,
		"The answer of an at-most-once operation is not stored yet; the write is retried in the background.", "Check the store."}
	ClaimUnreleased = &Event{422, "claim-unreleased", slog.LevelWarn,
		"A claim of work that did not run could not be released immediately; requests with its key are refused until the store has recorded the release.", "Check the store."}
	RequestFailed = &Event{500, "request-failed", slog.LevelDebug,
		"A request ended without an answer.", "Nothing; the caller receives the code."}
	BillLost = &Event{501, "bill-lost", slog.LevelError,
		"A bill could not be written before the process ended, or the queue of bills was full.",
		"Keep the line: it is the bill. The agent's copy is filed once the store responds; file the line by hand only if `skylarkstand bill --list` does not list its request an hour later."}
	ExchangeEnded = &Event{510, "exchange-ended", slog.LevelInfo,
		"An exchange ended with an upstream's complete answer. `first` is the time to its first piece, with the target `aim`; `pause` is the longest time between two pieces, with the maximum `gap`. `larger` is the number of larger models to which the request could have been escalated, `sure` the confidence that sufficed, and `kept-answer` why it was not escalated (`largest`: it started at the largest model, since the retry budget could not pay for an escalation). `unframed` states that the answer had neither a length nor chunks and ended with its connection, and `tail` is the number of bytes after the last complete event of a stream; `budget-refused` states that the retry budget refused another attempt.", "Nothing."}
	ExchangeCut = &Event{516, "exchange-cut", slog.LevelWarn,
		"An answer was cut off after a part of it was forwarded; `code` and `message` give the reason, `no-repeat` why it was not resumed. The caller's connection was closed.",
		"Search for the `attempt-ended` lines with the request's id."}
	ExchangeFailed = &Event{511, "exchange-failed", slog.LevelWarn,
		"An exchange ended without an upstream's answer; `ran` is what was reported to the caller, `last` the failure of the last attempt, `no-repeat` why it was not retried.",
		"Search for the `attempt-ended` lines with the request's id."}
	ExchangeRefused = &Event{512, "exchange-refused", slog.LevelWarn,
		"An exchange was refused before an upstream was chosen: no route, no key, no configuration, or too large.",
		"Compare `configuration` with the newest one if the request should have been accepted."}
	AttemptEnded = &Event{513, "attempt-ended", slog.LevelInfo,
		"An attempt's answer was not used; `verdict` and `why` give the outcome and its reason, `load` is the load that the upstream reported with it (running, queued, slots), `unframed` states that it had neither a length nor chunks, `answer` tells how it came (whether its connection had carried requests before, and how many answers to others came in front of it), and `fingerprint` is the same for all requests of a workspace with the same content.",
		"Check the upstream if it repeats there."}
	AttemptBegun = &Event{515, "attempt-begun", slog.LevelInfo,
		"An upstream was selected out of `candidates` and is called. `purpose` is what the retry budget granted it for (`retry`, `climb` or `resume`), and empty while no attempt before it reached an upstream. `own` is the number of this entry's calls there, `others` that of other entries by their reports, which are `load-age` old (-1: no report), and `slowdown` is how long work takes there, as a multiple of the usual time. `kept` is the number of the prompt's tokens that are assumed to be in its prefix cache; `waits` is the prefill time of all prompts there by the reports, `read` that of this entry's prompts. `rank` is the position in its queue (0 is first), `patience` the time after which another upstream is tried, `left` the time that the caller still waits, `repeats-left` the retry budget, and `after` the last event that the caller received.",
		"Nothing."}
	StreamResumed = &Event{514, "stream-resumed", slog.LevelInfo,
		"A broken stream is continued at another upstream, after the last event that the caller received.", "Nothing."}
	RequestSuspected = &Event{517, "request-suspected", slog.LevelWarn,
		"An upstream ended with a request in flight that may be the cause. `crashes` is how many ends of upstreams with it in flight this entry knows of, `successive` how many of them followed one another; `sent-ago` and `ended-ago` are the times since this attempt was sent and since it ended.",
		"Check the upstream if it repeats; `fingerprint` identifies the request."}
	RequestQuarantined = &Event{518, "request-quarantined", slog.LevelWarn,
		"A request, or with `part` each one that has a part of its prompt, has crashed several upstreams and is refused until the time `until`; `by` is `crashes` if this entry found that out and `sibling` if another one did.",
		"Find the request by the `fingerprint` in `request-suspected` lines, and correct the upstream's program."}
	PermitGranted = &Event{519, "permit-granted", slog.LevelWarn,
		"The request with `fingerprint` was in flight when three upstreams or more ended, so that each of its attempts needs a permit; this entry was granted one. `permits` counts those of all entries whose attempts have not shown yet that the request crashes nothing.",
		"If the upstream ends again, find the request by `fingerprint` in `request-suspected` lines."}
	ExchangeResent = &Event{520, "exchange-resent", slog.LevelWarn,
		"A request that may run only once is sent to another upstream, since the attempt `before` was not run, by its `verdict`. `answer` is what shows that: the status, the header that states it, the ids of requests in the answer, and how it came. `before-address` is where the attempt was sent. Other lines do not make room for this one.",
		"Compare it with the log of the upstream `before` if the request ran there."}
	RatingsAway = &Event{540, "ratings-away", slog.LevelWarn,
		"The rating service does not respond in time; cascades run the stage that is declared good enough.",
		"Check the rating service."}
)

// Catalogue lists all events by number.
func Catalogue() []*Event {
	return []*Event{
		Started, Stopping, Stopped, DutyFailed, DrainCut, Reloaded, ReloadRefused, LogDropped,
		LinkUp, LinkDown, UpstreamLeaving, UpstreamDown, HostsAway, ForeignFrame, PeerUp, PeerDown, UpstreamCrashed, OrderPassed, OrderRefused,
		ConfigAdopted, ConfigBroken, ConfigStale,
		RollOutHalted, HaltRecorded, HaltPending, CanaryOrdered, CanaryStatus, CanaryStep, CanaryWritten,
		EntryMalformed, UpstreamListed, UpstreamGone, UpstreamAvoided, UpstreamTrusted, MemoryRecalled, MemoryUnknown, WarmupUnknown, WarmupAsked, CanaryHeld, CanaryLoadLimited, ZoneEvacuated, ZoneRestored, UpstreamCold, UpstreamLimited, UpstreamUnlimited, UpstreamCooldown, UpstreamDraining,
		StoreDown, SegmentWritten, SegmentLate, StoreBack, MirrorListed, MirrorBySibling, StoreWriteLate, Registered, NoSeed,
		LedgerSealed, TakeoverFiled, TakeoverLate, CopyDropped, CopiesLeft,
		ClaimsBroken, ClaimUnfinished, ClaimUnreleased,
		RequestFailed, BillLost, ExchangeEnded, ExchangeFailed, ExchangeRefused, AttemptEnded, StreamResumed, AttemptBegun, ExchangeCut, RequestSuspected, RequestQuarantined, PermitGranted, ExchangeResent, RatingsAway,
	}
}
