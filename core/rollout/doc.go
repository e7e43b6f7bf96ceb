// Package rollout guards the roll-out of a version: from the evidence of its
// answers it decides when the version gets no new sessions any more.
//
// It is made for a version that turns out worse than the stable one while
// callers use it. The harm is callers with bad answers: each further one is
// exposed for nothing. The opposite harm is a halt of a version that is no
// worse: operators would learn to switch the guard off. A test after a fixed
// number of answers finds one of the two late; looking again and again at such
// a test makes false halts certain in time. So the test is sequential: it may
// be looked at after every answer, for as long as the roll-out takes, and
// halts a harmless version with a chance of at most [FalseHalts] in all.
//
// The [Guard] gets an [Outcome] for each rating and each attempt of a version
// under roll-out and of the stable version of the same model. It compares the
// two over the same time, so that a harder hour, in which both do worse, is
// not taken for a fault of the new version.
//
// # Usage
//
//	gu := rollout.New()
//	gu.Follow(snapshot)                        // at each new configuration
//	if draw < gu.RateShare(mv) { rate the answer }
//	gu.Observe(rollout.Outcome{Version: mv, Kind: rollout.Rating, Bad: true, At: now})
//	for _, ha := range gu.Halts() { write it into the configuration }
//	gu.Halted(mv)                              // no new sessions from now on
//
// [Watch] wraps the upstreams so that failed attempts reach the guard, also
// those that are tried again elsewhere and never reach a caller.
package rollout
