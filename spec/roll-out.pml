/* How the step and the status of a canary roll-out are kept in the store, and why
 * no late write of an entry reverses a verdict, and no entry sends requests to a
 * version after it must stop.
 *
 * Two entries decide by the state of the store that they last read. A write names
 * the revision that it was decided on; it takes effect now, or much later, after
 * its writer has paused and others have written; the writer may never
 * receive the reply. An entry may restart at any time and then has no state. A
 * version is good or bad; only a bad one is ever found bad, by either entry, at
 * any time. The entries receive nothing from each other. Each sends a request to
 * the new version while the number it sent there stays within a share of its own
 * requests, plus a slack.
 *
 * Properties (assertions): a final status never changes; a step is never reverted,
 * and none is taken after a final status; a version that is not bad is never
 * rolled back; an entry that found the version bad, or read that it was rolled
 * back, or started after that, sends nothing to it; in the first step the entries
 * together stay within the share and both slacks. In the end state the roll-out
 * has a final status.
 *
 * Bounds: 2 entries, 1 restart, 1 write in flight per key and entry, 2 requests
 * per entry, 2 steps, a share of a third and a slack of 1.
 */
// mutation: BLIND_WRITE        a write does not name the revision it replaces
// mutation: WRITE_AFTER_FINAL  an entry continues to write after a final status
// mutation: SEND_UNOBSERVED    an entry sends before it has read the store
// mutation: SHARE_OF_BOTH      an entry counts the other's requests as its own
// mutation: IGNORE_VERDICT     an entry that found the version bad continues to send
// pan: -m400000
// cc: -DSAFETY -DCOLLAPSE

#define NONE 0
#define PROGRESS 1
#define COMPLETED 2
#define ROLLED_BACK 3
#define LAST 1
#define REQUESTS 2

bool bad;               /* the version is bad */
byte status = NONE, statusRev = 0;
byte step = 0, stepRev = 0;
bool final = false;
byte all[2], sent[2];   /* requests of each entry, and those of them sent to the new version */
byte finished = 0;
byte restarts = 1;      /* remaining restarts of either entry */

/* A write in flight: its value and the revision it replaces. */
byte wStatus[2], wStatusPrev[2];
bool wStatusPending[2];
byte wStep[2], wStepPrev[2];
bool wStepPending[2];

/* The state that each entry last read, and its own verdict. */
bool observed[2], found[2], mustStop[2];
byte seenStatus[2], seenStatusRev[2], seenStep[2], seenStepRev[2];

/* acceptsStatus and acceptsStep: the store accepts the write. The number of blind
 * writes is bounded to keep the search finite. */
#ifdef BLIND_WRITE
#define acceptsStatus(p) (statusRev < 4)
#define acceptsStep(p) (stepRev < 4)
#else
#define acceptsStatus(p) (wStatusPrev[p] == statusRev)
#define acceptsStep(p) (wStepPrev[p] == stepRev)
#endif

inline applyStatus(p) {
	wStatusPending[p] = false;
	if
	:: acceptsStatus(p) ->
		assert(!final || wStatus[p] == status);
		assert(wStatus[p] != ROLLED_BACK || bad);
		status = wStatus[p];
		statusRev++;
		final = (status == COMPLETED || status == ROLLED_BACK)
	:: else
	fi
}

inline applyStep(p) {
	wStepPending[p] = false;
	if
	:: acceptsStep(p) ->
		assert(wStep[p] >= step);
		step = wStep[p];
		stepRev++
	:: else
	fi
}

inline observe(p) {
	observed[p] = true;
	seenStatus[p] = status; seenStatusRev[p] = statusRev;
	seenStep[p] = step; seenStepRev[p] = stepRev;
	if
	:: status == ROLLED_BACK -> mustStop[p] = true
	:: else
	fi
}

inline decide(p, value) {
	wStatus[p] = value; wStatusPrev[p] = seenStatusRev[p]; wStatusPending[p] = true
}

/* mayWrite: the last status that was read is not final. */
#ifdef WRITE_AFTER_FINAL
#define mayWrite(p) (observed[p] && statusRev < 6)
#else
#define mayWrite(p) (observed[p] && seenStatus[p] != COMPLETED && seenStatus[p] != ROLLED_BACK)
#endif

#ifdef SEND_UNOBSERVED
#define maySend(p) (!found[p] && seenStatus[p] != ROLLED_BACK)
#else
#ifdef IGNORE_VERDICT
#define maySend(p) (observed[p] && seenStatus[p] != ROLLED_BACK)
#else
#define maySend(p) (observed[p] && !found[p] && seenStatus[p] != ROLLED_BACK)
#endif
#endif

/* inShare: with one more request the entry stays within a third, plus a slack of one. */
#ifdef SHARE_OF_BOTH
#define inShare(p) (3 * (sent[p] + 1) <= all[0] + all[1] + 3)
#else
#define inShare(p) (3 * (sent[p] + 1) <= all[p] + 3)
#endif

proctype Entry(byte p) {
	do
	:: atomic { !observed[p] || seenStatusRev[p] != statusRev || seenStepRev[p] != stepRev -> observe(p) }
	:: atomic { bad && !found[p] -> found[p] = true }
	:: atomic { mayWrite(p) && !wStatusPending[p] && found[p] -> decide(p, ROLLED_BACK) }
	:: atomic { mayWrite(p) && !wStatusPending[p] && !found[p] && seenStatus[p] == NONE -> decide(p, PROGRESS) }
	:: atomic { mayWrite(p) && !wStatusPending[p] && !found[p] && seenStatus[p] == PROGRESS && seenStep[p] == LAST -> decide(p, COMPLETED) }
	:: atomic { mayWrite(p) && !wStepPending[p] && !found[p] && seenStatus[p] == PROGRESS && seenStep[p] < LAST ->
		wStep[p] = seenStep[p] + 1; wStepPrev[p] = seenStepRev[p]; wStepPending[p] = true }
	:: atomic { wStatusPending[p] -> applyStatus(p) }
	:: atomic { wStepPending[p] -> applyStep(p) }
	:: atomic { all[p] < REQUESTS ->
		all[p]++;
		if
		:: maySend(p) && seenStep[p] == 0 && inShare(p) ->
			assert(!mustStop[p]);
			assert(!found[p]);
			sent[p]++;
			assert(3 * (sent[0] + sent[1]) <= all[0] + all[1] + 6)
		:: true
		fi }
	:: atomic { restarts > 0 ->
		restarts--;
		observed[p] = false; found[p] = false;
		seenStatus[p] = NONE; seenStatusRev[p] = 0; seenStep[p] = 0; seenStepRev[p] = 0;
		mustStop[p] = (status == ROLLED_BACK) }
	:: atomic { final && all[p] == REQUESTS && !wStatusPending[p] && !wStepPending[p] -> break }
	od;
	finished++
}

init {
	if
	:: bad = true
	:: bad = false
	fi;
	atomic { run Entry(0); run Entry(1) };
	finished == 2;
	assert(final)
}
