package declaration

import (
	"slices"
)

// Rule is the name of a rule that a document or a change must satisfy, as check
// prints it.
type Rule string

// Rules whose breach is always rejected.
const (
	SchemaRule         Rule = "schema"
	EmptyDocument      Rule = "empty-document"
	BadName            Rule = "bad-name"
	DuplicateName      Rule = "duplicate-name"
	NameClash          Rule = "name-clash"
	UnknownName        Rule = "unknown-name"
	NoVersions         Rule = "no-versions"
	NoOperations       Rule = "no-operations"
	QualityRange       Rule = "quality-range"
	NegativePrice      Rule = "negative-price"
	NoStages           Rule = "no-stages"
	CascadeOrder       Rule = "cascade-order"
	StageNotAllowed    Rule = "stage-not-allowed"
	NothingAllowed     Rule = "nothing-allowed"
	NoKey              Rule = "no-key"
	KeyNotDigest       Rule = "key-not-digest"
	KeyShared          Rule = "key-shared"
	ShareRange         Rule = "share-range"
	LimitRange         Rule = "limit-range"
	PercentRange       Rule = "percent-range"
	RollOutStable      Rule = "roll-out-of-stable"
	RollOutWithdrawn   Rule = "roll-out-of-withdrawn"
	RollOutUnseen      Rule = "roll-out-unseen"
	OnlyRollOutAllowed Rule = "only-roll-out-allowed"
	StableWithdrawn    Rule = "stable-withdrawn"
	NoReason           Rule = "no-reason"
	UnknownRisk        Rule = "unknown-risk"
	UnusedRisk         Rule = "idle-accept-risk"
)

// Rules about what is legal but dangerous. A breach is rejected unless the
// document lists it in accept-risks.
const (
	OnlyVersionWithdrawn Rule = "only-version-withdrawn"
	NoVersionLeft        Rule = "no-version-left"
	QualityOutOfReach    Rule = "quality-out-of-reach"
	NoZoneLeft           Rule = "no-zone-left"
	RollOutStep          Rule = "roll-out-step"
	StableStep           Rule = "stable-step"
	WithdrawalLifted     Rule = "withdrawal-lifted"
	HaltLifted           Rule = "halt-lifted"
	EvacuationLifted     Rule = "evacuation-lifted"
	RegionsWidened       Rule = "regions-widened"
	WorkspaceRemoved     Rule = "workspace-removed"
	KeysReplaced         Rule = "keys-replaced"
	KeyMoved             Rule = "key-moved"
	LimitCut             Rule = "limit-cut"
	PriceJump            Rule = "price-jump"
	VersionDropped       Rule = "version-dropped"
	RepeatAllowed        Rule = "at-most-once-dropped"
)

// ruleSubject is what a rule examines: a document alone, or a change from one
// document to another.
type ruleSubject int

const (
	ofDocument ruleSubject = iota + 1
	ofChange
)

// risks are the rules that accept-risks may name.
var risks = map[Rule]ruleSubject{
	OnlyVersionWithdrawn: ofDocument, NoVersionLeft: ofDocument, QualityOutOfReach: ofDocument, NoZoneLeft: ofDocument,
	RollOutStep: ofChange, StableStep: ofChange, WithdrawalLifted: ofChange, HaltLifted: ofChange, EvacuationLifted: ofChange, RegionsWidened: ofChange,
	WorkspaceRemoved: ofChange, KeysReplaced: ofChange, KeyMoved: ofChange, LimitCut: ofChange,
	PriceJump: ofChange, VersionDropped: ofChange, RepeatAllowed: ofChange,
}

// Risks lists the rules that accept-risks may name, in alphabetical order.
func Risks() []Rule {
	out := make([]Rule, 0, len(risks))
	for ru := range risks {
		out = append(out, ru)
	}
	slices.Sort(out)
	return out
}
