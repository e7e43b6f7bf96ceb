// Package matrix is the fault matrix: it injects every expected fault at every step of a
// request, an apply, a roll-out, a leave and a stop, and checks the product's promises
// from outside afterwards.
//
// This package declares the steps and faults; its tests run the cells against separate
// processes on loopback. docs/PROMISES.md is generated from this package.
//
// # Usage
//
//	go test ./test/matrix                           # all cells
//	go test ./test/matrix -run 'Request/first-token/freeze-agent'
//	go run ./test/matrix/page >docs/PROMISES.md
package matrix

// Step is the state of a request or of an operation in which a fault is injected.
type Step struct {
	Name string
	// Description describes the state.
	Description string
}

// RequestSteps are the steps of a request, in their order.
var RequestSteps = []Step{
	{"accepted", "the entry has received half of the request's body"},
	{"queued", "all upstreams are busy and the request waits"},
	{"routed", "an upstream is chosen and the link to it is stalled"},
	{"handed-over", "the request is in flight to an agent that does not read"},
	{"claiming", "the claim of an at-most-once call is in flight to a slow store"},
	{"running", "the service runs an at-most-once call"},
	{"sent", "the engine has the request and has sent no token"},
	{"first-token", "the caller has the first token"},
	{"mid-stream", "the caller has a third of the answer"},
	{"ended", "the caller has the whole answer and the bill is not durable"},
	{"billed", "the bill is in the store"},
}

// OperatorSteps are the steps of an operator's changes and planned stops.
var OperatorSteps = []Step{
	{"apply", "a withdrawal is being applied to a slow store"},
	{"roll-out", "half of the new sessions get a new version"},
	{"leave", "an agent is shutting down gracefully and has work in flight"},
	{"stop", "an entry is shutting down gracefully and has work in flight"},
}

// Fault is a kind of failure that the tests inject.
type Fault struct {
	Name        string
	Description string
}

// Faults are the columns of the matrix.
var Faults = []Fault{
	{"none", "no fault: the cell tests the checks themselves"},
	{"kill-agent", "the agent in use is killed"},
	{"kill-upstream", "the engine or service in use is killed"},
	{"kill-entry", "the entry in use is killed"},
	{"freeze-agent", "the agent in use is paused and resumes"},
	{"freeze-entry", "the entry in use is paused and resumes"},
	{"freeze-upstream", "the engine or service in use is paused and resumes"},
	{"cut-link", "the link to the agent in use is cut"},
	{"hold-link", "the link to the agent in use silently stalls for a while"},
	{"region-cut", "the entry in use silently loses the store and the host list"},
	{"store-down", "the store refuses every call for a while"},
	{"store-slow", "the store takes half a second for each call"},
	{"replies-lost", "half of the store's replies to writes are lost after the write took effect"},
	{"crossed-answers", "engines put events of other requests into streams"},
	{"poison", "a request that crashes engines is sent in the meantime"},
	{"operator-race", "two operators apply conflicting changes in the meantime"},
}

// Pairs are overlapping faults: the second is injected while the first lasts.
var Pairs = [][2]string{
	{"store-down", "kill-entry"},
	{"replies-lost", "kill-agent"},
	{"replies-lost", "freeze-agent"},
	{"replies-lost", "kill-entry"},
	{"freeze-entry", "kill-agent"},
	{"hold-link", "store-down"},
	{"store-slow", "cut-link"},
}

// PairSteps are the steps at which pairs are injected.
var PairSteps = []string{"claiming", "running", "mid-stream", "ended"}
