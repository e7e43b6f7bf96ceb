/* How an operation that may run at most once is claimed, run and answered.
 *
 * One key. Its caller sends it three times, over two entries to two agents,
 * each time as a new attempt, also while an earlier one is still under way. A
 * bucket of the store holds the key's claim and a revision; every write is a
 * compare-and-swap on the revision. A reply may be lost: the write took effect,
 * never does, or does so at any later time from the revision that it names. The
 * store goes down and comes back, agents die at any step, and the upstream may
 * lose its answer. A step of an agent may be delayed for ever, which is a pause.
 *
 * Properties (assertions): the operation runs at most once; an attempt that was
 * told "not run" never runs; a stored answer is of an attempt that ran; a claim
 * that was released stays released, so the key is not lost.
 *
 * Bounds: 3 attempts on 2 agents, 1 lost reply, which may be a late write, 1
 * death, 1 outage.
 */
// mutation: DISPATCH_UNSETTLED   a write in doubt is taken for written
// mutation: TAKE_OVER            a claim of another attempt is taken over
// mutation: NO_COMPARE           any claim that stands is taken for one's own
// mutation: RELEASE_LOST         a claim is released when the upstream's answer was lost
// mutation: RUN_GIVEN_UP         an attempt runs after its caller was told "not run"
// mutation: NO_FENCE             a claim in doubt counts as released when it is absent
// mutation: NO_REVISION          a write does not compare the revision

mtype = { FREE, CLAIMED, DONE, NONE, NOTRUN, UNKNOWN, ANSWER };

mtype state = FREE;
byte holder = 0;
byte rev = 0;
mtype told[4] = NONE;
bool ran[4];
bool released[4];
byte runs = 0;
byte losses = 1, deaths = 1;
bool storeUp = true;
bool dead[2];
chan late = [1] of { byte, byte, mtype };   /* revision, holder, state */

inline put(h, s) {
	state = s; holder = h; rev++;
	assert(!(s == CLAIMED && released[h]))
}

/* land is a write that reaches the store. */
inline land(prev, h, s) {
	if
#ifdef NO_REVISION
	:: true -> put(h, s)
#else
	:: rev == prev -> put(h, s)
	:: else
#endif
	fi
}

/* swap ends with won, lost (a conflict, or no reply: doubt) or refused. */
inline swap(h, s) {
	won = false;
	if
	:: storeUp && rev == prev -> put(h, s); won = true
	:: storeUp && rev != prev
	:: !storeUp
	:: storeUp && losses > 0 -> losses--; doubt = true; doubtRev = prev;
		if
		:: land(prev, h, s)
		:: skip
		:: nfull(late) -> late!prev,h,s
		fi
	fi
}

proctype Attempt(byte me; byte agent) {
	byte prev = 0, doubtRev = 0;
	bool doubt = false, won = false;

claim:	/* read, then write when the key is free */
	if
	:: atomic { dead[agent] -> goto gone }
	:: atomic { !storeUp && !doubt -> told[me] = NOTRUN; goto gone }
	:: atomic { told[me] == NONE -> told[me] = NOTRUN; goto release }   /* the caller gave up */
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
		:: state == CLAIMED && holder != me -> told[me] = UNKNOWN; goto gone
		:: state == DONE -> assert(ran[holder]); told[me] = ANSWER; goto gone
		:: state == FREE -> goto write
		fi }
	fi;
write:	if
	:: atomic { dead[agent] -> goto gone }
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
	:: atomic { dead[agent] -> goto gone }
	:: atomic { told[me] = NOTRUN;   /* the caller gave up, or the agent refused */
#ifdef RUN_GIVEN_UP
		goto call
#else
		goto release
#endif
	   }
	:: goto call
	fi;
call:	if
	:: atomic { dead[agent] -> goto gone }
	:: atomic { !dead[agent] ->
		runs++; ran[me] = true;
		assert(runs == 1);
		assert(told[me] != NOTRUN);
		if
		:: told[me] = ANSWER
		:: told[me] = UNKNOWN;   /* the upstream lost its answer */
#ifdef RELEASE_LOST
			goto release
#else
			goto gone
#endif
		fi }
	fi;
finish:	if
	:: atomic { dead[agent] -> goto gone }
	:: atomic { storeUp ->
		prev = rev;
		assert(holder == me);
		if
		:: state == DONE -> goto gone
		:: else
		fi }
	fi;
	atomic { swap(me, DONE) -> goto finish }
release:	/* in the background, until the claim is known to be absent for good */
	if
	:: atomic { dead[agent] -> goto gone }
	:: atomic { storeUp ->
		prev = rev;
		if
		:: rev != doubtRev -> doubt = false
		:: else
		fi;
		if
		:: state == CLAIMED && holder == me
#ifdef NO_FENCE
		:: !(state == CLAIMED && holder == me) -> released[me] = true; goto gone
#else
		:: !(state == CLAIMED && holder == me) && !doubt -> released[me] = true; goto gone
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
gone:	skip
}

proctype Network() {
	byte prev, h;
	mtype s;
end:	do
	:: atomic { late?prev,h,s -> land(prev, h, s) }
	od
}

proctype Faults() {
end:	do
	:: atomic { deaths > 0 -> deaths--; if :: dead[0] = true :: dead[1] = true fi }
	:: break
	od;
	storeUp = false;
	storeUp = true
}

init {
	atomic { run Attempt(1, 0); run Attempt(2, 1); run Attempt(3, 0); run Network(); run Faults() }
}
