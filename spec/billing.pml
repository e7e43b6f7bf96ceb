/* Who may bill, so that each request is billed once.
 *
 * An entry process P files its bills in its own chain. The agents hold a copy
 * of each bill until they are told that it is durable. When an agent takes P
 * for gone it gives what it holds to an heir, which seals P's chain. After the
 * seal there is one place for all further bills of P, whoever files them: the
 * chain "estate". An author may create entry n of it only after it has read all
 * entries below n of both chains, and files nothing that stands there.
 *
 * The model takes the worst case throughout. Each process may stand still
 * between any two steps, P may be taken for gone at any time and wake at any
 * time, P and one heir may end at any step (an heir that stands still for ever
 * has ended for the others). A write is sent, and the store applies it at any
 * later time, also after its author ended, or never. The reply of every write
 * is lost, so that an author always settles it by reading the key and, while
 * that is absent, sends the same record again. P may have no room for a bill;
 * it takes back what the agent holds and no entry has, at any time.
 *
 * Properties (assertions): no bill stands in two entries; an agent forgets
 * only what stands in the store; once P is gone and one heir has ended its
 * work, each bill that an agent was told of stands in the store. No process
 * waits for ever (no invalid end state).
 *
 * Bounds: 2 bills, one owner with a thread that settles and one that writes,
 * 2 heirs, one agent. Not modelled: an agent that restarts loses its copies;
 * the floor from which chains are read is taken as their beginning.
 */
// mutation: HEIR_BLIND      an heir files without reading the estate
// mutation: NO_SEAL         an heir files without sealing the owner's chain
// mutation: PAST_SEAL       the owner goes on in its own chain after a seal
// mutation: OWNER_BLIND     the owner files in the estate what heirs filed there
// mutation: FORGET_EARLY    an agent forgets a bill when it is settled
// mutation: FORGET_SENT     an agent is told durable when the write was sent
// mutation: TELL_FIRST      the agent is told before the bill waits at the owner
// mutation: BLIND_RECLAIM   the owner takes a bill back without reading the chains
// mutation: FRESH_NONCE     the owner takes its own unsettled write for another's

#define ALL   3            /* a bit for each bill */
#define SEAL  4
#define LEN   7
#define OWNER 2            /* authors: heirs 0 and 1, and the owner */

byte own[LEN], estate[LEN];        /* what stands in the store; 0 is absent */
byte ownBy[LEN], estateBy[LEN];    /* its author, which stands for the nonce */
byte billed;                       /* bills that stand in the store */

/* One write on its way to the store for each author. */
bool sent[3], toEstate[3];
byte number[3], content[3];

byte pending;   /* bills that wait at the owner */
byte held;      /* copies at the agent */
byte settled;   /* bills that the agent was ever told of */
byte ended;     /* threads of the owner that ended */

inline send(a, est, n, c) {
	sent[a] = true; toEstate[a] = est; number[a] = n; content[a] = c
}

inline forget(bills) {
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
		:: toEstate[a] && estate[number[a]] == 0 ->
			estate[number[a]] = content[a]; estateBy[number[a]] = a;
			assert((billed & content[a]) == 0);
			billed = billed | content[a]
		:: !toEstate[a] && own[number[a]] == 0 ->
			own[number[a]] = content[a]; ownBy[number[a]] = a;
			assert((billed & content[a] & ALL) == 0);
			billed = billed | (content[a] & ALL)
		:: else                 /* the key exists: the write has no effect */
		:: true                 /* the write is lost on its way */
		fi;
		a = 0
	}
	od
}

/* The owner's requests end one after the other. */
proctype Settle() {
	byte b = 1;
	do
	:: b > ALL -> break
	:: true -> break            /* the owner ends here */
	:: b <= ALL ->
#ifdef TELL_FIRST
		atomic { held = held | b; settled = settled | b };
		pending = pending | b;
#else
		if
		:: pending = pending | b
		:: skip                 /* there is no room for it */
		fi;
		atomic {
			settled = settled | b;
#ifndef FORGET_EARLY
			held = held | b
#endif
		};
#endif
		b = b << 1
	od;
	atomic { b = 0; ended++ }
}

/* The owner takes back what the agent holds. It is the writer's thread: the
 * writer does not move meanwhile, others do. Entries never change, so reading a
 * chain to its first absent entry equals reading all of it at once then. */
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
		:: sealed && estate[k] != 0 -> seen = seen | estate[k]; k++
		:: else -> break
		od;
		sealed = false; k = 0
	};
#endif
	atomic { pending = pending | (want & ~seen); forget(want & seen); want = 0; seen = 0 }
}

/* The owner's writer. */
proctype Write() {
	byte n, batch, want, seen, k;
	bool over, sealed;          /* over: it writes to the estate */
	do
	:: true -> break            /* the owner ends here */
	:: reclaim()
	:: atomic { pending != 0 -> batch = pending; send(OWNER, over, n, batch) };
#ifdef FORGET_SENT
		atomic { held = held & ~batch };
#endif
		do
		:: true -> goto gone
		:: reclaim()            /* while a write is not settled */
		:: atomic { !over && own[n] == 0 && !sent[OWNER] -> send(OWNER, over, n, batch) }
		:: atomic { over && estate[n] == 0 && !sent[OWNER] -> send(OWNER, over, n, batch) }
#ifdef FRESH_NONCE
		:: atomic { !over && own[n] != 0 && own[n] != SEAL -> n++; batch = 0; break }
#else
		:: atomic { !over && own[n] != 0 && own[n] != SEAL -> pending = pending & ~batch; n++; break }
#endif
#ifdef PAST_SEAL
		:: atomic { !over && own[n] == SEAL -> n++; batch = 0; break }
#else
		:: atomic { !over && own[n] == SEAL -> over = true; n = 0; batch = 0; break }
#endif
		:: atomic { over && estate[n] != 0 && estateBy[n] == OWNER -> pending = pending & ~batch; n++; break }
#ifdef OWNER_BLIND
		:: atomic { over && estate[n] != 0 && estateBy[n] != OWNER -> n++; batch = 0; break }
#else
		:: atomic { over && estate[n] != 0 && estateBy[n] != OWNER -> batch = estate[n]; pending = pending & ~batch; n++; break }
#endif
		od;
		atomic { forget(batch); batch = 0 }
	od;
gone:
	atomic { n = 0; batch = 0; over = false; ended++ }
}

proctype Heir(byte me) {
	byte n, want, seen;
	do
	:: me == 1 -> break         /* … or it stands still for ever somewhere below */
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
#ifdef HEIR_BLIND
		:: atomic { estate[n] != 0 && estateBy[n] != me -> n++ }
		:: atomic { estate[n] != 0 && estateBy[n] == me -> seen = seen | estate[n]; n++ }
#else
		:: atomic { estate[n] != 0 ->
			do
			:: estate[n] != 0 -> seen = seen | estate[n]; n++
			:: else -> break
			od }
#endif
		:: atomic { estate[n] == 0 && (want & ~seen) != 0 && !sent[me] -> send(me, true, n, (want & ~seen)) }
		:: atomic { estate[n] == 0 && (want & ~seen) == 0 -> break }
		od;
		atomic { forget(want); want = 0; seen = 0; n = 0 }
	od
}

init {
	atomic { run Store(); run Settle(); run Write(); run Heir(0); run Heir(1) }
}
