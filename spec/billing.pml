/* Which process may bill, so that each request is billed exactly once.
 *
 * An entry process P appends its bills to its own chain. The agents hold a copy
 * of each bill until P reports it as durable. When an agent considers P gone, it
 * hands its copies to a successor, which seals P's chain. After the seal, all
 * further bills of P go to one place, whichever process appends them: the chain
 * "takeover". An author may create entry n of it only after it has read all
 * entries below n of both chains, and appends no bill that those contain.
 *
 * The model takes the worst case throughout. Each process may pause between any
 * two steps, P may be considered gone at any time and resume at any time, P and
 * one successor may end at any step (a successor that pauses forever is
 * equivalent to one that ended). A write is sent, and the store applies it at any
 * later time, also after its author ended, or never. The reply to every write
 * is lost, so an author always resolves it by reading the key and, while that
 * is absent, sends the same record again. P may lack the memory for a bill; at
 * any time it reclaims the bills that the agent holds and no entry contains.
 *
 * Properties (assertions): no bill is in two entries; an agent discards only
 * copies of bills that are in the store; once P is gone and one successor has
 * ended its work, each bill that an agent ever received is in the store. No
 * process waits forever (no invalid end state).
 *
 * Bounds: 2 bills, one owner with a thread that settles and one that writes,
 * 2 successors, one agent. Not modelled: an agent that restarts loses its copies;
 * the floor from which chains are read is taken to be their beginning.
 */
// mutation: SUCCESSOR_BLIND  a successor appends without reading the takeover chain
// mutation: NO_SEAL          a successor appends without sealing the owner's chain
// mutation: PAST_SEAL        the owner continues its own chain after a seal
// mutation: OWNER_BLIND      the owner appends to the takeover chain bills that successors appended
// mutation: DISCARD_EARLY    an agent discards its copy when the bill is settled
// mutation: DISCARD_SENT     a bill is reported to the agent as durable when its write was sent
// mutation: NOTIFY_FIRST     the agent receives its copy before the bill is pending at the owner
// mutation: BLIND_RECLAIM    the owner reclaims a bill without reading the chains
// mutation: FRESH_NONCE      the owner mistakes its own write, whose reply was lost, for another author's

#define ALL   3            /* bit mask with one bit per bill */
#define SEAL  4
#define LEN   7
#define OWNER 2            /* authors: successors 0 and 1, and the owner */

byte own[LEN], takeover[LEN];        /* entries in the store; 0 is absent */
byte ownBy[LEN], takeoverBy[LEN];    /* their authors, which model the nonce */
byte billed;                       /* bills in the store */

/* One write in flight to the store per author. */
bool sent[3], toTakeover[3];
byte number[3], content[3];

byte pending;   /* bills that the owner has not written yet */
byte held;      /* copies at the agent */
byte settled;   /* bills that the agent ever received */
byte ended;     /* threads of the owner that ended */

inline send(a, inTakeover, n, c) {
	sent[a] = true; toTakeover[a] = inTakeover; number[a] = n; content[a] = c
}

inline discard(bills) {
	assert((bills & ~billed) == 0);
	held = held & ~(bills)
}

proctype Store() {
	byte a;
end:
	do
	:: atomic {
		(sent[0] || sent[1] || sent[2]) ->
		if
		:: sent[0] -> a = 0
		:: sent[1] -> a = 1
		:: sent[2] -> a = 2
		fi;
		sent[a] = false;
		if
		:: toTakeover[a] && takeover[number[a]] == 0 ->
			takeover[number[a]] = content[a]; takeoverBy[number[a]] = a;
			assert((billed & content[a]) == 0);
			billed = billed | content[a]
		:: !toTakeover[a] && own[number[a]] == 0 ->
			own[number[a]] = content[a]; ownBy[number[a]] = a;
			assert((billed & content[a] & ALL) == 0);
			billed = billed | (content[a] & ALL)
		:: else                 /* the key exists: the write has no effect */
		:: true                 /* the write is lost in transit */
		fi;
		a = 0
	}
	od
}

/* The owner's requests end one after another; each settles its bill. */
proctype Settle() {
	byte b = 1;
	do
	:: b > ALL -> break
	:: true -> break            /* the owner ends here */
	:: b <= ALL ->
#ifdef NOTIFY_FIRST
		atomic { held = held | b; settled = settled | b };
		pending = pending | b;
#else
		if
		:: pending = pending | b
		:: skip                 /* the owner has no memory for it */
		fi;
		atomic {
			settled = settled | b;
#ifndef DISCARD_EARLY
			held = held | b
#endif
		};
#endif
		b = b << 1
	od;
	atomic { b = 0; ended++ }
}

/* The owner reclaims the bills that the agent holds. This runs in the writer's
 * thread: the writer is blocked meanwhile, the other processes are not. Entries
 * never change, so reading a chain up to its first absent entry equals reading
 * all of it at that moment. */
inline reclaim() {
	atomic { (held & ~pending) != 0 -> want = held & ~pending; seen = 0 };
#ifndef BLIND_RECLAIM
	atomic {
		k = 0;
		do
		:: own[k] != 0 && own[k] != SEAL -> seen = seen | own[k]; k++
		:: else -> break
		od;
		sealed = (own[k] == SEAL); k = 0
	};
	atomic {
		do
		:: sealed && takeover[k] != 0 -> seen = seen | takeover[k]; k++
		:: else -> break
		od;
		sealed = false; k = 0
	};
#endif
	atomic { pending = pending | (want & ~seen); discard(want & seen); want = 0; seen = 0 }
}

/* The owner's thread that appends pending bills. */
proctype Write() {
	byte n, batch, want, seen, k;
	bool takenOver, sealed;     /* takenOver: the owner writes to the takeover chain */
	do
	:: true -> break            /* the owner ends here */
	:: reclaim()
	:: atomic { pending != 0 -> batch = pending; send(OWNER, takenOver, n, batch) };
#ifdef DISCARD_SENT
		atomic { held = held & ~batch };
#endif
		do
		:: true -> goto done
		:: reclaim()            /* while a write is unresolved */
		:: atomic { !takenOver && own[n] == 0 && !sent[OWNER] -> send(OWNER, takenOver, n, batch) }
		:: atomic { takenOver && takeover[n] == 0 && !sent[OWNER] -> send(OWNER, takenOver, n, batch) }
#ifdef FRESH_NONCE
		:: atomic { !takenOver && own[n] != 0 && own[n] != SEAL -> n++; batch = 0; break }
#else
		:: atomic { !takenOver && own[n] != 0 && own[n] != SEAL -> pending = pending & ~batch; n++; break }
#endif
#ifdef PAST_SEAL
		:: atomic { !takenOver && own[n] == SEAL -> n++; batch = 0; break }
#else
		:: atomic { !takenOver && own[n] == SEAL -> takenOver = true; n = 0; batch = 0; break }
#endif
		:: atomic { takenOver && takeover[n] != 0 && takeoverBy[n] == OWNER -> pending = pending & ~batch; n++; break }
#ifdef OWNER_BLIND
		:: atomic { takenOver && takeover[n] != 0 && takeoverBy[n] != OWNER -> n++; batch = 0; break }
#else
		:: atomic { takenOver && takeover[n] != 0 && takeoverBy[n] != OWNER -> batch = takeover[n]; pending = pending & ~batch; n++; break }
#endif
		od;
		atomic { discard(batch); batch = 0 }
	od;
done:
	atomic { n = 0; batch = 0; takenOver = false; ended++ }
}

proctype Successor(byte me) {
	byte n, want, seen;
	do
	:: me == 1 -> break         /* it ends here, or blocks forever at a step below */
	:: atomic { me == 0 && ended == 2 && held == 0 -> assert((settled & ~billed) == 0); break }
	:: atomic { held != 0 -> want = held; seen = 0; n = 0 };
		do
		:: atomic { own[n] != 0 && own[n] != SEAL ->
			do
			:: own[n] != 0 && own[n] != SEAL -> seen = seen | own[n]; n++
			:: else -> break
			od }
#ifdef NO_SEAL
		:: atomic { own[n] == 0 -> n = 0; break }
#else
		:: atomic { own[n] == 0 && !sent[me] -> send(me, false, n, SEAL) }
		:: atomic { own[n] == SEAL -> n = 0; break }
#endif
		od;
		do
#ifdef SUCCESSOR_BLIND
		:: atomic { takeover[n] != 0 && takeoverBy[n] != me -> n++ }
		:: atomic { takeover[n] != 0 && takeoverBy[n] == me -> seen = seen | takeover[n]; n++ }
#else
		:: atomic { takeover[n] != 0 ->
			do
			:: takeover[n] != 0 -> seen = seen | takeover[n]; n++
			:: else -> break
			od }
#endif
		:: atomic { takeover[n] == 0 && (want & ~seen) != 0 && !sent[me] -> send(me, true, n, (want & ~seen)) }
		:: atomic { takeover[n] == 0 && (want & ~seen) == 0 -> break }
		od;
		atomic { discard(want); want = 0; seen = 0; n = 0 }
	od
}

init {
	atomic { run Store(); run Settle(); run Write(); run Successor(0); run Successor(1) }
}
