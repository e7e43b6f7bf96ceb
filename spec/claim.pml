/* How an operation that may run at most once is claimed, run and answered.
 *
 * There is one idempotency key. Its caller sends it three times, through two
 * entries to two agents, each time as a new attempt, also while an earlier one is
 * still in flight. A bucket of the store holds the key's claim and a revision;
 * every write is a compare-and-swap on the revision. A reply may be lost: the
 * write took effect, never does, or does so at any later time if the revision
 * that it names is still current. The store has an outage and recovers, agents
 * crash at any step, and the upstream's answer may be lost. A step of an agent
 * may be delayed forever, which models a paused process.
 *
 * Properties (assertions): the operation runs at most once; an attempt that was
 * reported as "not run" never runs; a stored answer is of an attempt that ran; a
 * claim that was released stays released, so the key remains usable.
 *
 * Bounds: 3 attempts on 2 agents, 1 lost reply, which may be a late write, 1
 * crash, 1 outage.
 */
// mutation: DISPATCH_UNSETTLED  a write in doubt counts as written
// mutation: TAKE_OVER           a claim of another attempt is taken over
// mutation: NO_COMPARE          an attempt takes any existing claim for its own
// mutation: RELEASE_LOST        a claim is released when the upstream's answer was lost
// mutation: RUN_GIVEN_UP        an attempt runs after it was reported as "not run"
// mutation: NO_FENCE            a claim in doubt counts as released when it is absent
// mutation: NO_REVISION         a write does not compare the revision

mtype = { FREE, CLAIMED, DONE, NONE, NOTRUN, UNKNOWN, ANSWER };

mtype state = FREE;
byte holder = 0;
byte rev = 0;
mtype reported[4] = NONE;      /* what each attempt reported to its caller */
bool ran[4];
bool released[4];
byte runs = 0;
byte losses = 1, crashes = 1;
bool storeUp = true;
bool crashed[2];
chan late = [1] of { byte, byte, mtype };   /* revision, holder, state */

inline put(h, s) {
	state = s; holder = h; rev++;
	assert(!(s == CLAIMED && released[h]))
}

/* apply executes a write that reaches the store. */
inline apply(prev, h, s) {
	if
#ifdef NO_REVISION
	:: true -> put(h, s)
#else
	:: rev == prev -> put(h, s)
	:: else
#endif
	fi
}

/* swap sends a write. It sets won when the write took effect with a reply, and doubt when the
 * reply was lost; on a conflict or an outage it sets neither. */
inline swap(h, s) {
	won = false;
	if
	:: storeUp && rev == prev -> put(h, s); won = true
	:: storeUp && rev != prev
	:: !storeUp
	:: storeUp && losses > 0 -> losses--; doubt = true; doubtRev = prev;
		if
		:: apply(prev, h, s)
		:: skip
		:: nfull(late) -> late!prev,h,s
		fi
	fi
}

proctype Attempt(byte me; byte agent) {
	byte prev = 0, doubtRev = 0;
	bool doubt = false, won = false;

claim:	/* reads, then writes when the key is free */
	if
	:: atomic { crashed[agent] -> goto done }
	:: atomic { !storeUp && !doubt -> reported[me] = NOTRUN; goto done }
	:: atomic { reported[me] == NONE -> reported[me] = NOTRUN; goto release }   /* the caller gave up */
	:: atomic { storeUp ->
		prev = rev;
		if
		:: rev != doubtRev -> doubt = false
		:: else
		fi;
		if
		:: state == CLAIMED && holder == me -> goto owned
#ifdef NO_COMPARE
		:: state == CLAIMED && holder != me -> goto owned
#endif
#ifdef TAKE_OVER
		:: state == CLAIMED && holder != me -> goto write
#endif
		:: state == CLAIMED && holder != me -> reported[me] = UNKNOWN; goto done
		:: state == DONE -> assert(ran[holder]); reported[me] = ANSWER; goto done
		:: state == FREE -> goto write
		fi }
	fi;
write:	if
	:: atomic { crashed[agent] -> goto done }
	:: atomic { swap(me, CLAIMED) ->
		if
		:: won -> goto owned
#ifdef DISPATCH_UNSETTLED
		:: !won && doubt -> goto owned
#endif
		:: else -> goto claim
		fi }
	fi;
owned:	if
	:: atomic { crashed[agent] -> goto done }
	:: atomic { reported[me] = NOTRUN;   /* the caller gave up, or the agent refused */
#ifdef RUN_GIVEN_UP
		goto call
#else
		goto release
#endif
	   }
	:: goto call
	fi;
call:	if
	:: atomic { crashed[agent] -> goto done }
	:: atomic { !crashed[agent] ->
		runs++; ran[me] = true;
		assert(runs == 1);
		assert(reported[me] != NOTRUN);
		if
		:: reported[me] = ANSWER
		:: reported[me] = UNKNOWN;   /* the upstream lost its answer */
#ifdef RELEASE_LOST
			goto release
#else
			goto done
#endif
		fi }
	fi;
finish:	if
	:: atomic { crashed[agent] -> goto done }
	:: atomic { storeUp ->
		prev = rev;
		assert(holder == me);
		if
		:: state == DONE -> goto done
		:: else
		fi }
	fi;
	atomic { swap(me, DONE) -> goto finish }
release:	/* runs in the background until the claim is absent and no late write can restore it */
	if
	:: atomic { crashed[agent] -> goto done }
	:: atomic { storeUp ->
		prev = rev;
		if
		:: rev != doubtRev -> doubt = false
		:: else
		fi;
		if
		:: state == CLAIMED && holder == me
#ifdef NO_FENCE
		:: !(state == CLAIMED && holder == me) -> released[me] = true; goto done
#else
		:: !(state == CLAIMED && holder == me) && !doubt -> released[me] = true; goto done
		:: !(state == CLAIMED && holder == me) && doubt
#endif
		fi }
	fi;
	atomic {
		if
		:: state == CLAIMED && holder == me -> swap(0, FREE)
		:: else -> swap(holder, state)
		fi;
		goto release
	}
done:	skip
}

proctype Network() {
	byte prev, h;
	mtype s;
end:	do
	:: atomic { late?prev,h,s -> apply(prev, h, s) }
	od
}

proctype Faults() {
end:	do
	:: atomic { crashes > 0 -> crashes--; if :: crashed[0] = true :: crashed[1] = true fi }
	:: break
	od;
	storeUp = false;
	storeUp = true
}

init {
	atomic { run Attempt(1, 0); run Attempt(2, 1); run Attempt(3, 0); run Network(); run Faults() }
}
