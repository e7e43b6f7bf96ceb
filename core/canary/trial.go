package canary

import "time"

// trial counts the attempts that this entry sent to a new version before the last step, and how many
// of them have yielded evidence.
//
// The tests of [evidence] see only attempts that yield an outcome. A version so slow that hardly any
// answer arrives before the next step would otherwise take that step for lack of evidence.
type trial struct {
	sentAt       []time.Time
	ended, timed int
	// tested counts the outcomes that tell how fast the version is.
	tested int
}

// trialCount is the state of the trials of one or more entries.
type trialCount struct {
	// answered counts the attempts with an outcome, overdue those that should have had one by now.
	answered, overdue int
	// tested counts the outcomes that tell how fast the version is.
	tested int
}

const (
	// maxTrialAttempts bounds the attempts that are tracked; more of them yield enough outcomes.
	maxTrialAttempts = 256
	// lateFactor and lateSlack set the time to an outcome at the new version above which an attempt is
	// overdue, relative to the old version's median.
	lateFactor = 2
	lateSlack  = 500 * time.Millisecond
)

// observe records an outcome of the new version.
func (tr *trial) observe(ou Outcome, po *comparison) {
	_, timed := po.isSlow(ou, slowChunkFactor, slowHeaderFactor)
	if timed && !ou.Failed || ou.PrefillRatio > 0 {
		tr.tested++
	}
	if ou.Streaming && ou.ChunkInterval > 0 {
		tr.timed++
	}
}

func (tr *trial) addSent(now time.Time) {
	if len(tr.sentAt) < maxTrialAttempts {
		tr.sentAt = append(tr.sentAt, now)
	}
}

// count counts the attempts, given the usual time to an outcome, or 0 if it is unknown.
func (tr *trial) count(now time.Time, usual time.Duration) trialCount {
	co := trialCount{answered: max(tr.ended, tr.timed), tested: tr.tested}
	if usual <= 0 {
		return co
	}
	due := 0
	for _, at := range tr.sentAt {
		if now.Sub(at) > lateFactor*usual+lateSlack {
			due++
		}
	}
	co.overdue = max(due-co.answered, 0)
	return co
}

func (co trialCount) add(other trialCount) trialCount {
	return trialCount{answered: co.answered + other.answered, overdue: co.overdue + other.overdue, tested: co.tested + other.tested}
}

const (
	// enoughTested is the number of outcomes that tell a version's speed which suffice for the last step, and
	// testedShare the share of all outcomes that suffices where there are few.
	enoughTested = 4
	testedShare  = 0.25
)

// untested reports whether hardly any outcome tells how fast the version is: it may be slow without a sign.
func (co trialCount) untested() bool {
	return co.tested < enoughTested && float64(co.tested) < testedShare*float64(co.answered)
}

// inconclusive reports whether fewer than half of the attempts that should have yielded an outcome by
// now have done so.
func (co trialCount) inconclusive() bool { return co.overdue > co.answered }

// trialCount returns the state of this entry's trial.
func (ro *rollout) trialCount(now time.Time) trialCount {
	usual := time.Duration(0)
	if ti := ro.evidence.timeToOutcome; ti.reliable() {
		usual = time.Duration(ti.val * float64(time.Second))
	}
	return ro.trial.count(now, usual)
}
