package event

import "log/slog"

// The events. Numbers below 200 concern the process, below 300 links and
// upstreams, below 400 the configuration, below 500 the store, claims and the
// ledger, below 600 requests.
var (
	Started = &Event{100, "started", slog.LevelInfo,
		"The process is up and listens.", "Nothing."}
	Stopping = &Event{101, "stopping", slog.LevelInfo,
		"A planned stop has begun; listeners drain.", "Nothing."}
	Stopped = &Event{102, "stopped", slog.LevelInfo,
		"All work in flight has ended and the process exits.", "Nothing."}
	DutyFailed = &Event{103, "duty-failed", slog.LevelError,
		"A duty of the supervisor tree ended and is started again.", "Report it when it repeats."}
	Reloaded = &Event{105, "reloaded", slog.LevelInfo,
		"The settings file was read again and what may change while running is in force.", "Nothing."}
	ReloadRefused = &Event{106, "reload-refused", slog.LevelError,
		"The settings file has faults; the settings in force stay.", "Mend the file; the line names all faults."}
	LogDropped = &Event{107, "log-dropped", slog.LevelWarn,
		"Lines of the event `of` were left out, because it had more than its ceiling or whoever reads the log does not keep up; `lines` counts them.", "Nothing; the counters have every request."}
	DrainCut = &Event{104, "drain-cut", slog.LevelError,
		"A planned stop ran out of its time and cut work off.", "Raise `drain-limit` above the longest answer."}
	LinkUp = &Event{200, "link-up", slog.LevelInfo,
		"A link to a peer was opened.", "Nothing."}
	LinkDown = &Event{201, "link-down", slog.LevelWarn,
		"A link to a peer was lost.", "Look at the peer when it does not come back."}
	UpstreamLeaving = &Event{202, "upstream-leaving", slog.LevelInfo,
		"An upstream takes no new work from now on.", "Nothing."}
	UpstreamDown = &Event{203, "upstream-down", slog.LevelWarn,
		"An agent cannot reach its upstream.", "Look at the engine or service."}
	HostsAway = &Event{204, "hosts-away", slog.LevelWarn,
		"The platform's host list cannot be read; the last one is kept.", "Look at the platform."}
	ForeignFrame = &Event{205, "foreign-frame", slog.LevelWarn,
		"A frame or event of another attempt arrived and was dropped.", "Report it when it repeats."}
	PeerUp = &Event{206, "peer-up", slog.LevelInfo,
		"A link to another entry was opened.", "Nothing."}
	PeerDown = &Event{207, "peer-down", slog.LevelWarn,
		"A link to another entry was lost.", "Look at that entry when it does not come back."}
	UpstreamCrashed = &Event{208, "upstream-crashed", slog.LevelWarn,
		"An upstream went down with a request in flight; the request runs alone once more, or not again when it was alone.",
		"Look at the engine when it repeats; the fingerprint names the request."}
	OrderPassed = &Event{209, "order-passed", slog.LevelInfo,
		"An order was passed on to the engine.", "Nothing."}
	OrderRefused = &Event{210, "order-refused", slog.LevelWarn,
		"An order was not passed on, or the engine refused it.", "Give it again if it is still meant; a newer order may have replaced it."}
	ConfigAdopted = &Event{300, "configuration-adopted", slog.LevelInfo,
		"A newer configuration is in force in this process.", "Nothing."}
	ConfigBroken = &Event{301, "configuration-broken", slog.LevelError,
		"A generation could not be read; the one before stays in force.", "Roll the configuration back."}
	ConfigStale = &Event{302, "configuration-stale", slog.LevelWarn,
		"No word of the newest configuration for longer than the freshness bound; versions under roll-out get no new sessions.",
		"Look at the store and the links."}
	RollOutHalted = &Event{340, "roll-out-halted", slog.LevelWarn,
		"The guard has halted a roll-out: its version gets no new sessions from this process from now on.",
		"Look at the version and withdraw it, or clear `halted` to go on."}
	HaltRecorded = &Event{341, "halt-recorded", slog.LevelInfo,
		"A halt of the guard stands in the configuration and spreads to all processes.", "Nothing."}
	CanaryOrdered = &Event{343, "canary-ordered", slog.LevelInfo,
		"Operators ordered a service to be moved to a version.", "Nothing."}
	CanaryStatus = &Event{344, "canary-status", slog.LevelInfo,
		"A roll-out's status in the store is a new one.", "Nothing."}
	CanaryStep = &Event{345, "canary-step", slog.LevelInfo,
		"A roll-out has reached its next step; the new version gets a larger share.", "Nothing."}
	CanaryWritten = &Event{346, "canary-written", slog.LevelInfo,
		"This process wrote a roll-out's next step or status; `why` is the evidence.", "Look at the version when it was rolled back."}
	EntryMalformed = &Event{347, "entry-malformed", slog.LevelWarn,
		"A key of the store cannot be read. An upstream's is taken as none; a configuration's leaves the one in force.",
		"Find who writes it."}
	UpstreamListed = &Event{348, "upstream-listed", slog.LevelInfo,
		"An upstream's line of the list is new or has changed.", "Nothing."}
	UpstreamGone = &Event{349, "upstream-gone", slog.LevelInfo,
		"An upstream's line is gone. While `doubtful`, the store's own trouble may be the cause and it is used for a little longer.", "Nothing."}
	UpstreamAvoided = &Event{350, "upstream-avoided", slog.LevelWarn,
		"This entry keeps work from an upstream while others are there: `why` is the outcome that decided it, `failing` the recent share of failures.",
		"Look at the upstream when other entries avoid it too."}
	MemoryRecalled = &Event{353, "memory-recalled", slog.LevelInfo,
		"This entry has just started, and an engine told it which parts of prompts it keeps.", "Nothing."}
	MemoryUnknown = &Event{354, "memory-unknown", slog.LevelInfo,
		"An engine did not tell an entry that has just started what it keeps; prompts may be read there anew.", "Nothing."}
	UpstreamTrusted = &Event{351, "upstream-trusted", slog.LevelInfo,
		"An upstream that was avoided gave a whole answer and is used as the others.", "Nothing."}
	CanaryHeld = &Event{352, "canary-held", slog.LevelWarn,
		"This entry holds a version under roll-out for bad and sends it nothing new; `why` is the evidence.",
		"Look at the version."}
	UpstreamCold = &Event{357, "upstream-cold", slog.LevelInfo,
		"An upstream has started or is cold again, and gets few requests `cold-for` so long (negative: as long as its service says), shared by `entries`. Without `exact` this entry sends it none meanwhile.", "Nothing."}
	ZoneEvacuated = &Event{355, "zone-evacuated", slog.LevelWarn,
		"An availability zone gets no new work from now on; what runs there ends as it would.", "Nothing."}
	ZoneRestored = &Event{356, "zone-restored", slog.LevelInfo,
		"The evacuation of an availability zone has ended.", "Nothing."}
	HaltPending = &Event{342, "halt-pending", slog.LevelWarn,
		"A halt could not be written into the configuration yet; it holds in this process and is tried again.",
		"Look at the store."}
	StoreDown = &Event{400, "store-down", slog.LevelWarn,
		"The store cannot be reached.", "Look at the platform."}
	StoreBack = &Event{403, "store-back", slog.LevelInfo,
		"The store answers again; `away` is for how long it did not.", "Nothing."}
	MirrorListed = &Event{404, "mirror-listed", slog.LevelInfo,
		"The copy of the store was read anew, at the start or because the store has dropped its history.", "Nothing."}
	MirrorBySibling = &Event{405, "mirror-by-sibling", slog.LevelInfo,
		"The store does not answer this process; its news came from another entry.", "Look at the way to the store."}
	Registered = &Event{407, "registered", slog.LevelInfo,
		"The process stands in the store's list of entries.", "Nothing."}
	StoreWriteLate = &Event{406, "store-write-late", slog.LevelWarn,
		"A write is due that the store did not take; it is tried again.", "Look at the store."}
	SegmentWritten = &Event{401, "segment-written", slog.LevelDebug,
		"A ledger segment is durable.", "Nothing."}
	SegmentLate = &Event{402, "segment-late", slog.LevelWarn,
		"A ledger segment could not be written yet; its bills are kept and tried again.", "Look at the store."}
	LedgerSealed = &Event{440, "ledger-sealed", slog.LevelWarn,
		"Others took this process for gone and sealed its ledger; its bills go into its takeover chain from now on.",
		"Look for what paused the process or cut its links."}
	TakeoverFiled = &Event{441, "takeover-filed", slog.LevelInfo,
		"Bills that agents held of a gone process were looked up, and those that lacked were filed.", "Nothing."}
	TakeoverLate = &Event{442, "takeover-late", slog.LevelWarn,
		"Bills of a gone process could not be filed yet; agents keep them and offer them again.", "Look at the store."}
	CopyDropped = &Event{443, "copy-dropped", slog.LevelWarn,
		"An agent has no room for a copy of a bill; the entry alone has it until it is durable.", "Look at the store."}
	CopiesLeft = &Event{444, "copies-left", slog.LevelError,
		"An agent stopped with copies of bills whose entries are gone and that no other entry could file.",
		"Look at the store; bills of the entry that was lost last may be missing."}
	ClaimsBroken = &Event{420, "claims-broken", slog.LevelError,
		"A bucket or segment of claims cannot be read; its keys are refused, not run.", "Look at the store: something else wrote under `claims/`."}
	ClaimUnfinished = &Event{421, "claim-unfinished", slog.LevelWarn,
		"The answer of an at-most-once operation is not stored yet; it is tried again in the background.", "Look at the store."}
	ClaimUnreleased = &Event{422, "claim-unreleased", slog.LevelWarn,
		"A claim of work that did not run could not be given back at once; its key is refused until the store has it.", "Look at the store."}
	RequestFailed = &Event{500, "request-failed", slog.LevelDebug,
		"A request ended without an answer.", "Nothing; the code tells the caller."}
	BillLost = &Event{501, "bill-lost", slog.LevelError,
		"A bill could not be written before the process ended, or had no room to wait.",
		"Keep the line: it is the bill. The agent's copy is filed when the store answers; file the line by hand only if `skylarkstand bill --list` lacks its request an hour later."}
	ExchangeEnded = &Event{510, "exchange-ended", slog.LevelInfo,
		"An exchange ended with an upstream's whole answer: its `first` piece should have come within `aim`, and no `pause` between two should be longer than `gap`; `larger` models than the one that answered could have been asked; `sure` is the confidence that sufficed, `kept-answer` why none of them was.", "Nothing."}
	ExchangeCut = &Event{516, "exchange-cut", slog.LevelWarn,
		"An answer was broken off after a part of it was passed on; `code` and `message` say why, `no-repeat` why it was not resumed. Its caller sees the connection end.",
		"Follow the request's id to its `attempt-ended` lines."}
	ExchangeFailed = &Event{511, "exchange-failed", slog.LevelWarn,
		"An exchange ended without an upstream's answer; `ran` is what its caller was told, `last` the last attempt's failure, `no-repeat` why no other attempt followed.",
		"Follow the request's id to its `attempt-ended` lines."}
	ExchangeRefused = &Event{512, "exchange-refused", slog.LevelWarn,
		"An exchange was refused before an upstream was chosen: no route, no key, no configuration, or too large.",
		"Compare `configuration` with the newest one when the caller should have been let in."}
	AttemptEnded = &Event{513, "attempt-ended", slog.LevelInfo,
		"An attempt's answer was not used: `verdict` and `why` say what came of it.",
		"Look at the upstream when it repeats there."}
	AttemptBegun = &Event{515, "attempt-begun", slog.LevelInfo,
		"An upstream was chosen and is called: of `candidates`, with `own` calls of this entry there, `others` by the reports, `load-age` old (-1 is none); `kept` tokens of the prompt are thought to be in its memory, `waits` is the time that all prompts there need by the reports, and `read` that of this entry's; `rank` is the place in its queue, 0 first; `patience` is when another one is asked, `left` the caller's time, `repeats-left` the budget; `after` is the last event that the caller has.",
		"Nothing."}
	StreamResumed = &Event{514, "stream-resumed", slog.LevelInfo,
		"A stream that broke goes on at another upstream, after the event that its caller has.", "Nothing."}
	RatingsAway = &Event{540, "ratings-away", slog.LevelWarn,
		"The rating service does not answer in time; cascades run the stage that is declared good enough.",
		"Look at the rating service."}
)

// Catalogue lists all events by number.
func Catalogue() []*Event {
	return []*Event{
		Started, Stopping, Stopped, DutyFailed, DrainCut, Reloaded, ReloadRefused, LogDropped,
		LinkUp, LinkDown, UpstreamLeaving, UpstreamDown, HostsAway, ForeignFrame, PeerUp, PeerDown, UpstreamCrashed, OrderPassed, OrderRefused,
		ConfigAdopted, ConfigBroken, ConfigStale,
		RollOutHalted, HaltRecorded, HaltPending, CanaryOrdered, CanaryStatus, CanaryStep, CanaryWritten,
		EntryMalformed, UpstreamListed, UpstreamGone, UpstreamAvoided, UpstreamTrusted, MemoryRecalled, MemoryUnknown, CanaryHeld, ZoneEvacuated, ZoneRestored, UpstreamCold,
		StoreDown, SegmentWritten, SegmentLate, StoreBack, MirrorListed, MirrorBySibling, StoreWriteLate, Registered,
		LedgerSealed, TakeoverFiled, TakeoverLate, CopyDropped, CopiesLeft,
		ClaimsBroken, ClaimUnfinished, ClaimUnreleased,
		RequestFailed, BillLost, ExchangeEnded, ExchangeFailed, ExchangeRefused, AttemptEnded, StreamResumed, AttemptBegun, ExchangeCut, RatingsAway,
	}
}
