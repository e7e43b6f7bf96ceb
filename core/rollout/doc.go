// Package rollout guards the roll-out of a model version: from the evidence of its answers it
// decides when the version must not receive new sessions any more.
//
// It detects a version that turns out worse than the stable one while callers use it. Each further
// caller with a bad answer is exposed needlessly. The opposite harm is a halt of a version that is
// no worse: operators would learn to switch the guard off. A test after a fixed number of answers
// detects one of the two late, and evaluating such a test again and again makes a false halt
// certain in time. So the test is sequential: it may be evaluated after every answer, for as long
// as the roll-out takes, and halts a harmless version with a chance of at most [MaxFalseHaltChance]
// in total.
//
// The [Guard] receives an [Outcome] for each rating and each attempt of a version under roll-out
// and of the stable version of the same model. It compares the two over the same period, so that a
// period in which both do worse does not count as a fault of the new version.
//
// # Usage
//
//	gu := rollout.New()
//	gu.Apply(snapshot)                        // at each new configuration
//	if draw < gu.RateShare(mv) { rate the answer }
//	gu.Observe(rollout.Outcome{Version: mv, Kind: rollout.Rating, Bad: true, At: now})
//	for _, ha := range gu.PendingHalts() { write it into the configuration }
//	gu.Halted(mv)                              // no new sessions from now on
//
// [ObserveAttempts] wraps the upstreams so that the guard observes failed attempts, including those
// that are retried on another upstream and never reach a caller.
package rollout
