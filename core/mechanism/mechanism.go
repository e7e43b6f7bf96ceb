// Package mechanism names the mechanisms of a gateway that can be switched off,
// each by itself, to see what it is worth.
//
// All are on unless the settings say otherwise. None of them keeps a promise:
// with any of them off, requests still run only where they may and as often as
// they may. What a deployment gains by each is found by playing the same load
// with and without it.
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

// Name is a mechanism's name, as the settings have it.
type Name string

// The mechanisms.
const (
	// PrefixHomes: an upstream of the region that all entries prefer for a prompt,
	// while none tells what was read where.
	PrefixHomes Name = "prefix-homes"
	// ToldPrompts and ToldLoads: what other entries tell of prompts that engines
	// have read, and of their work there.
	ToldPrompts Name = "told-prompts"
	ToldLoads   Name = "told-loads"
	// ReadPace: how fast engines read is learned for each model.
	ReadPace Name = "read-pace"
	// SharedPrice: reading shared parts of prompts anew has a price beside its time.
	SharedPrice Name = "shared-price"
	// Slack: an engine is left whose wait would make an answer late.
	Slack Name = "slack"
	// Recall: engines are asked what they keep when an entry starts.
	Recall Name = "recall"
	// StreamModels: a stream that a caller comes back with goes on at the model
	// that has its prompt.
	StreamModels Name = "stream-models"
	// StartWait: callers of an entry that starts wait for its configuration.
	StartWait Name = "start-wait"
	// LengthRanks: engines read short prompts first.
	LengthRanks Name = "length-ranks"
	// Gate: requests are refused that engines would begin too late.
	Gate Name = "gate"
	// HogPart: a workspace that sends more than its share is refused sooner.
	HogPart Name = "hog-part"
	// Pressure: under load models are asked again only for what is surely wrong.
	Pressure Name = "pressure"
	// MiddleModels: models between the smallest and the largest are asked.
	MiddleModels Name = "middle-models"
	// EarlyRepeats: another upstream is asked when the first is silent.
	EarlyRepeats Name = "early-repeats"
	// Resumption: a stream that breaks goes on elsewhere in the same answer.
	Resumption Name = "resumption"
	// Avoidance: work is kept from upstreams that fail.
	Avoidance Name = "avoidance"
	// Slowness: work is kept from upstreams that are slow.
	Slowness Name = "slowness"
	// ToldCalls: calls are told of the moment that they are sent.
	ToldCalls Name = "told-calls"
	// ToldFacts: upstreams where nobody listens are told of.
	ToldFacts Name = "told-facts"
	// ToldRegions: what the entries of other regions have at upstreams.
	ToldRegions Name = "told-regions"
	// LentRepeats: an entry uses repeats that others have left.
	LentRepeats Name = "lent-repeats"
	// Readers: a few entries watch the store for the others.
	Readers Name = "readers"
	// PooledEvidence: entries add up what they see of a new version.
	PooledEvidence Name = "pooled-evidence"
)

var all = []Name{
	PrefixHomes, ToldPrompts, ToldLoads, ToldCalls, ToldFacts, ToldRegions, ReadPace, SharedPrice, Slack, Recall, StreamModels, StartWait, LengthRanks, Gate, HogPart,
	Pressure, MiddleModels, EarlyRepeats, Resumption, Avoidance, Slowness, LentRepeats, Readers, PooledEvidence,
}

// All lists the mechanisms.
func All() []Name { return slices.Clone(all) }

// Off is the mechanisms that are switched off; none in the zero value.
type Off struct{ names []Name }

// Without returns the mechanisms that are named.
func Without(names ...Name) Off { return Off{names: names} }

// Has reports whether a mechanism is off.
func (of Off) Has(na Name) bool { return slices.Contains(of.names, na) }

// Parse reads the names of mechanisms.
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
