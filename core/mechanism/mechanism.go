// Package mechanism names the mechanisms of a gateway that can be disabled individually, to measure
// what each of them gains.
//
// All are enabled unless the settings disable them. No guarantee depends on them: with any of them
// disabled, requests still run only where and as often as they are allowed to. The gain of a
// mechanism in a deployment is measured by replaying the same load with and without it.
//
// # Usage
//
//	off, err := mechanism.Parse(set.Without)
//	if !off.Has(mechanism.Gate) { … }
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
	// PrefixHomes selects one upstream of the region by hashing the shared parts of a prompt. All
	// entries prefer it as long as they do not receive which prompts engines have processed.
	PrefixHomes Name = "prefix-homes"
	// ToldPrompts uses the announcements of other entries about the prompts that engines have
	// processed, ToldLoads those about their work at the engines.
	ToldPrompts Name = "told-prompts"
	ToldLoads   Name = "told-loads"
	// ReadPace measures the prefill throughput of engines for each model.
	ReadPace Name = "read-pace"
	// SharedPrice adds a penalty to the prefill time for repeating the prefill of shared parts of
	// prompts.
	SharedPrice Name = "shared-price"
	// Slack penalizes engines whose wait would make an answer late.
	Slack Name = "slack"
	// Recall queries the prefix caches of engines when an entry starts.
	Recall Name = "recall"
	// StreamModels resumes the stream of a retrying caller at the model that has its prompt cached.
	StreamModels Name = "stream-models"
	// StartWait makes callers of a starting entry wait for its configuration.
	StartWait Name = "start-wait"
	// LengthRanks makes engines prefill short prompts first.
	LengthRanks Name = "length-ranks"
	// Gate refuses requests that engines would start too late.
	Gate Name = "gate"
	// HogPart refuses a workspace that sends more than its share earlier than others.
	HogPart Name = "hog-part"
	// Pressure restricts escalation under load to answers that are almost certainly wrong.
	Pressure Name = "pressure"
	// MiddleModels escalates to models between the smallest and the largest as well.
	MiddleModels Name = "middle-models"
	// EarlyRepeats sends the request to another upstream when the first one does not respond in
	// time.
	EarlyRepeats Name = "early-repeats"
	// Resumption continues a broken stream at another upstream within the same answer.
	Resumption Name = "resumption"
	// Avoidance sends no work to failing upstreams while others are available.
	Avoidance Name = "avoidance"
	// Slowness sends less work to slow upstreams.
	Slowness Name = "slowness"
	// ToldCalls uses the calls that other entries announce at the moment they send them.
	ToldCalls Name = "told-calls"
	// ToldFacts uses the announcements of other entries about upstreams where nothing listens.
	ToldFacts Name = "told-facts"
	// ToldRegions uses the load that entries of other regions announce.
	ToldRegions Name = "told-regions"
	// LentRepeats lets an entry borrow unused retries of other entries.
	LentRepeats Name = "lent-repeats"
	// Readers lets a few entries watch the store for the others.
	Readers Name = "readers"
	// PooledEvidence combines what the entries observe of a new version.
	PooledEvidence Name = "pooled-evidence"
)

var all = []Name{
	PrefixHomes, ToldPrompts, ToldLoads, ToldCalls, ToldFacts, ToldRegions, ReadPace, SharedPrice, Slack, Recall, StreamModels, StartWait, LengthRanks, Gate, HogPart,
	Pressure, MiddleModels, EarlyRepeats, Resumption, Avoidance, Slowness, LentRepeats, Readers, PooledEvidence,
}

// All lists the mechanisms.
func All() []Name { return slices.Clone(all) }

// Off is a set of disabled mechanisms. The zero value disables none.
type Off struct{ names []Name }

// Without returns an Off that disables the named mechanisms.
func Without(names ...Name) Off { return Off{names: names} }

// Has reports whether a mechanism is disabled.
func (of Off) Has(na Name) bool { return slices.Contains(of.names, na) }

// Parse returns an Off that disables the mechanisms with the given names. It fails on an unknown
// name.
func Parse(names []string) (Off, error) {
	var of Off
	for _, name := range names {
		if !slices.Contains(all, Name(name)) {
			return Off{}, eris.Errorf("there is no mechanism %q; there are %s", name, list())
		}
		of.names = append(of.names, Name(name))
	}
	return of, nil
}

func list() string {
	out := make([]string, len(all))
	for i, na := range all {
		out[i] = fmt.Sprint(na)
	}
	return strings.Join(out, ", ")
}
