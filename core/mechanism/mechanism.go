// Package mechanism names the mechanisms of a gateway that can be disabled individually, to measure
// what each of them gains.
//
// All are enabled unless the settings disable them. No guarantee depends on them: with any of them
// disabled, requests still run only where and as often as they are allowed to. The gain of a
// mechanism in a deployment is measured by replaying the same load with and without it.
//
// # Usage
//
//	off, err := mechanism.Parse(set.DisabledMechanisms)
//	if !off.Has(mechanism.AdmissionControl) { … }
package mechanism

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Name is the name of a mechanism in the settings.
type Name string

// The mechanisms.
const (
	// PrefixAffinity selects one upstream of the region by hashing the shared parts of a prompt.
	// All entries prefer it while they receive no announcements of the prompts that engines have
	// processed.
	PrefixAffinity Name = "prefix-homes"
	// SiblingPrompts uses the announcements of other entries about the prompts that engines have
	// processed, SiblingLoads the announcements about their work at the engines.
	SiblingPrompts Name = "told-prompts"
	SiblingLoads   Name = "told-loads"
	// PrefillRate measures the prefill throughput of engines for each model.
	PrefillRate Name = "read-pace"
	// SharedPrefillPenalty adds a penalty to the prefill time for repeating the prefill of shared
	// parts of prompts.
	SharedPrefillPenalty Name = "shared-price"
	// LatenessPenalty penalizes engines whose wait would make an answer late.
	LatenessPenalty Name = "slack"
	// PrefixSync queries the prefix caches of engines when an entry starts.
	PrefixSync Name = "recall"
	// WarmupSync asks upstreams whether they are cold when an entry starts.
	WarmupSync Name = "warmup-sync"
	// ResumeModel resumes the stream of a retrying caller at the model that has its prompt cached.
	ResumeModel Name = "stream-models"
	// StartupWait makes callers of a starting entry wait for its configuration.
	StartupWait Name = "start-wait"
	// ShortPromptsFirst makes engines prefill short prompts first.
	ShortPromptsFirst Name = "length-ranks"
	// AdmissionControl refuses requests that engines would start too late.
	AdmissionControl Name = "gate"
	// NoisyWorkspaceLimit refuses a workspace that sends more than its share earlier than others.
	NoisyWorkspaceLimit Name = "hog-part"
	// PressureThreshold restricts escalation under load to answers that are almost certainly wrong.
	PressureThreshold Name = "pressure"
	// EscalationCost restricts escalation under load further for prompts that are expensive to prefill,
	// and less for cheap ones.
	EscalationCost Name = "climb-cost"
	// IntermediateModels escalates to models between the smallest and the largest as well.
	IntermediateModels Name = "middle-models"
	// FirstModel starts requests at the largest model while the retry budget cannot pay for their
	// escalation.
	FirstModel Name = "first-model"
	// EarlyRetries sends the request to another upstream when the first one does not respond in
	// time.
	EarlyRetries Name = "early-repeats"
	// StreamResumption continues a broken stream at another upstream within the same answer.
	StreamResumption Name = "resumption"
	// Avoidance sends no work to failing upstreams while others are available.
	Avoidance Name = "avoidance"
	// SlowUpstreamPenalty sends less work to slow upstreams.
	SlowUpstreamPenalty Name = "slowness"
	// Slowdowns uses how long work takes at each upstream, as upstreams report it and entries announce it.
	Slowdowns Name = "slowdowns"
	// SiblingCalls uses the calls that other entries announce at the moment they send them.
	SiblingCalls Name = "told-calls"
	// SiblingFacts uses the announcements of other entries about upstreams where nothing listens.
	SiblingFacts Name = "told-facts"
	// RegionLoads uses the load that entries of other regions announce.
	RegionLoads Name = "told-regions"
	// BorrowedRetries lets an entry borrow unused retries of other entries.
	BorrowedRetries Name = "lent-repeats"
	// StoreReaders lets a few entries watch the store for the others.
	StoreReaders Name = "readers"
	// PooledEvidence combines what the entries observe of a new version.
	PooledEvidence Name = "pooled-evidence"
)

var all = []Name{
	PrefixAffinity, SiblingPrompts, SiblingLoads, SiblingCalls, SiblingFacts, RegionLoads, PrefillRate, SharedPrefillPenalty, LatenessPenalty, PrefixSync, WarmupSync, ResumeModel, StartupWait, ShortPromptsFirst, AdmissionControl, NoisyWorkspaceLimit,
	PressureThreshold, EscalationCost, IntermediateModels, FirstModel, EarlyRetries, StreamResumption, Avoidance, SlowUpstreamPenalty, Slowdowns, BorrowedRetries, StoreReaders, PooledEvidence,
}

// All lists the mechanisms.
func All() []Name { return slices.Clone(all) }

// Disabled is a set of disabled mechanisms. The zero value disables none.
type Disabled struct{ names []Name }

// Disable returns a Disabled that disables the named mechanisms.
func Disable(names ...Name) Disabled { return Disabled{names: names} }

// Has reports whether a mechanism is disabled.
func (di Disabled) Has(na Name) bool { return slices.Contains(di.names, na) }

// Parse returns a Disabled that disables the mechanisms with the given names. It fails on an
// unknown name.
func Parse(names []string) (Disabled, error) {
	var di Disabled
	for _, name := range names {
		if !slices.Contains(all, Name(name)) {
			return Disabled{}, eris.Errorf("no mechanism %q exists; use one of %s", name, list())
		}
		di.names = append(di.names, Name(name))
	}
	return di, nil
}

func list() string {
	out := make([]string, len(all))
	for i, na := range all {
		out[i] = fmt.Sprint(na)
	}
	return strings.Join(out, ", ")
}
