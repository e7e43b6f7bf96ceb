// Package matrix is the fault matrix: every fault that is reckoned with at every step
// of a request, an apply, a roll-out, a leave and a stop, and what was promised
// checked from the outside afterwards.
//
// The table is here; the cells run in the package's tests, as separate
// processes on loopback. docs/PROMISES.md is generated from this package.
//
// # Usage
//
//	go test ./test/matrix                           # all cells
//	go test ./test/matrix -run 'Request/first-token/freeze-agent'
//	go run ./test/matrix/page >docs/PROMISES.md
package matrix

// Step is a moment at which a fault strikes.
type Step struct {
	Name string
	// Means says how the moment is reached.
	Means string
}

// RequestSteps are the moments in the life of a request.
var RequestSteps = []Step{
	{"accepted", "half of the request's body has arrived at the entry"},
	{"queued", "all upstreams are busy and the request waits"},
	{"routed", "an upstream is chosen and the link to it passes nothing"},
	{"handed-over", "the request is on its way to an agent that does not read"},
	{"claiming", "an at-most-once call's claim is on its way to a slow store"},
	{"running", "an at-most-once call runs in the service"},
	{"sent", "the engine has the request and no token is out"},
	{"first-token", "the caller has the first token"},
	{"mid-stream", "the caller has a third of the answer"},
	{"ended", "the caller has the whole answer and the bill is not durable"},
	{"billed", "the bill stands in the store"},
}

// OperatorSteps are the moments of an operator's change and of a planned end.
var OperatorSteps = []Step{
	{"apply", "a withdrawal is being applied to a slow store"},
	{"roll-out", "half of the new sessions go to a new version"},
	{"leave", "an agent was asked to stop and has work in flight"},
	{"stop", "an entry was asked to stop and has work in flight"},
}

// Fault is what goes wrong.
type Fault struct {
	Name  string
	Means string
}

// Faults are the columns.
var Faults = []Fault{
	{"none", "nothing goes wrong: the cell that shows the check itself"},
	{"kill-agent", "the agent in use is killed"},
	{"kill-upstream", "the engine or service in use is killed"},
	{"kill-entry", "the entry in use is killed"},
	{"freeze-agent", "the agent in use is paused and wakes"},
	{"freeze-entry", "the entry in use is paused and wakes"},
	{"freeze-upstream", "the engine or service in use is paused and wakes"},
	{"cut-link", "the link to the agent in use is cut"},
	{"hold-link", "the link to the agent in use passes nothing for a while, without a word"},
	{"region-cut", "the entry in use loses the store and the host list without a word"},
	{"store-down", "the store refuses every call for a while"},
	{"store-slow", "the store takes half a second for each call"},
	{"replies-lost", "half of the store's replies to writes are lost after the write took effect"},
	{"crossed-answers", "engines put events of other requests into streams"},
	{"poison", "a request that crashes engines is sent meanwhile"},
	{"operator-race", "two operators apply conflicting changes meanwhile"},
}

// Pairs are faults that meet: the second strikes while the first lasts.
var Pairs = [][2]string{
	{"store-down", "kill-entry"},
	{"replies-lost", "kill-agent"},
	{"replies-lost", "freeze-agent"},
	{"replies-lost", "kill-entry"},
	{"freeze-entry", "kill-agent"},
	{"hold-link", "store-down"},
	{"store-slow", "cut-link"},
}

// PairSteps are the moments at which pairs strike.
var PairSteps = []string{"claiming", "running", "mid-stream", "ended"}
