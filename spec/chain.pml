/* How a chain accepts an entry exactly once over a store that loses replies.
 *
 * Two writers and one sealer each find the end of the chain and then, after any
 * pause, create the next entry under a nonce. A create takes effect only on an
 * absent key. Its reply may be lost: the write took effect, never does, or does
 * so at any later time. A writer in doubt writes the same again, and on a
 * conflict reads back and compares the nonce. Old entries are pruned, which
 * keeps their keys. The store goes down and comes back.
 *
 * Properties (assertions): an entry never changes; a writer that is told
 * "accepted" has its entry, one that is told "refused" never has; a change
 * stands once; nothing follows a seal.
 *
 * Bounds: 3 entries, 3 writers of one change each, 2 late writes at a time, 3
 * lost replies, one outage.
 */
// mutation: OVERWRITE       a create replaces what stands
// mutation: ANY_NONCE       a conflict after doubt is taken for one's own write
// mutation: FRESH_NONCE     a writer in doubt tries again under a new nonce
// mutation: NO_READ_BACK    a writer in doubt says "refused"
// mutation: DELETE_PRUNED   pruning removes the key
// mutation: PASS_SEAL       a writer goes on behind a seal

#define ENTRIES 3
#define SEAL 3
#define change(nonce) ((nonce) % 4)   /* writers 1 and 2, the sealer 3 */

mtype = { NOTHING, ACCEPTED, REFUSED };

byte cell[5];        /* the nonce that stands at an entry, 0 is absent */
byte first[5];       /* the nonce that stood there first */
byte stands[4];      /* where a change stands */
mtype told[4] = NOTHING;
byte pruned = 0;     /* entries 1..pruned are folded */
byte losses = 3;
bool storeUp = true;
chan late = [2] of { byte, byte };

inline effect(n, nonce) {
	assert(first[n] == 0 || first[n] == nonce);
	assert(told[change(nonce)] != REFUSED);
	assert(stands[change(nonce)] == 0 || stands[change(nonce)] == n);
	assert(n == 1 || change(first[n-1]) != SEAL);
	cell[n] = nonce;
	first[n] = nonce;
	stands[change(nonce)] = n
}

/* land is a create that reaches the store. */
inline land(n, nonce) {
	if
#ifdef OVERWRITE
	:: true -> effect(n, nonce)
#else
	:: cell[n] == 0 -> effect(n, nonce)
	:: else
#endif
	fi
}

proctype Writer(byte me) {
	byte n, nonce = me;
	bool doubt = false;

	atomic {
		n = pruned + 1;
		do
		:: n <= ENTRIES && cell[n] != 0 -> n++
		:: else -> break
		od;
		if
		:: n > ENTRIES -> goto done
#ifndef PASS_SEAL
		:: n > 1 && n <= ENTRIES && change(cell[n-1]) == SEAL -> goto done
#endif
		:: else
		fi
	}
	do
	:: atomic { storeUp && cell[n] == 0 ->
		effect(n, nonce); assert(first[n] == nonce); told[me] = ACCEPTED; goto done }
	:: atomic { storeUp && losses > 0 -> losses--; doubt = true;
		if
		:: land(n, nonce)
		:: skip
		:: nfull(late) -> late!n,nonce
		fi;
#ifdef FRESH_NONCE
		nonce = nonce + 4;
#endif
#ifdef NO_READ_BACK
		told[me] = REFUSED;
		assert(stands[me] == 0);
		goto done
#endif
	   }
	:: atomic { storeUp && cell[n] != 0 ->
		if
		:: cell[n] == nonce -> assert(first[n] == nonce); told[me] = ACCEPTED
#ifdef ANY_NONCE
		:: cell[n] != nonce && doubt -> assert(first[n] == nonce)
#endif
		:: cell[n] != nonce -> told[me] = REFUSED; assert(stands[me] == 0)
		fi;
		goto done }
	:: atomic { !storeUp && !doubt -> told[me] = REFUSED; assert(stands[me] == 0); goto done }
	:: atomic { doubt -> goto done }   /* told nothing: unsettled */
	od;
done:	skip
}

proctype Network() {
	byte n, nonce;
end:	do
	:: atomic { late?n,nonce -> land(n, nonce) }
	od
}

/* Pruner folds all entries but the last. */
proctype Pruner() {
end:	do
	:: atomic { pruned + 2 <= ENTRIES && cell[pruned+1] != 0 && cell[pruned+2] != 0 ->
		pruned++;
#ifdef DELETE_PRUNED
		cell[pruned] = 0
#endif
	   }
	od
}

proctype Outage() {
	storeUp = false;
	storeUp = true
}

init {
	atomic { run Writer(1); run Writer(2); run Writer(SEAL); run Network(); run Pruner(); run Outage() }
}
