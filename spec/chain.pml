/* How a chain accepts an entry exactly once over a store that loses replies.
 *
 * Two writers and one sealer each find the end of the chain and then, after any
 * pause, create the next entry under a nonce. A create takes effect only on an
 * absent key. Its reply may be lost: the write took effect, never does, or does
 * so at any later time. A writer in doubt sends the same write again, and on a
 * conflict reads the entry back and compares the nonce. Old entries are pruned,
 * which keeps their keys. The store has an outage and recovers.
 *
 * Properties (assertions): an entry never changes; the entry of a writer whose
 * result is "accepted" is in the chain, that of one whose result is "refused"
 * never is; a change is in the chain once; nothing follows a seal.
 *
 * Bounds: 3 entries, 3 writers of one change each, 2 late writes at a time, 3
 * lost replies, one outage.
 */
// mutation: OVERWRITE      a create replaces an existing entry
// mutation: ANY_NONCE      a writer in doubt takes any conflict for its own write
// mutation: FRESH_NONCE    a writer in doubt retries under a new nonce
// mutation: NO_READ_BACK   a writer in doubt returns "refused"
// mutation: DELETE_PRUNED  pruning removes the key
// mutation: PASS_SEAL      a writer appends after a seal

#define ENTRIES 3
#define SEAL 3
#define change(nonce) ((nonce) % 4)   /* writers 1 and 2, the sealer 3 */

mtype = { NOTHING, ACCEPTED, REFUSED };

byte cell[5];        /* the nonce of each entry, 0 is absent */
byte first[5];       /* the first nonce that each entry had */
byte entryOf[4];     /* the entry number of each change */
mtype result[4] = NOTHING;   /* the result of each writer */
byte pruned = 0;     /* entries 1..pruned are pruned */
byte losses = 3;
bool storeUp = true;
chan late = [2] of { byte, byte };

inline effect(n, nonce) {
	assert(first[n] == 0 || first[n] == nonce);
	assert(result[change(nonce)] != REFUSED);
	assert(entryOf[change(nonce)] == 0 || entryOf[change(nonce)] == n);
	assert(n == 1 || change(first[n-1]) != SEAL);
	cell[n] = nonce;
	first[n] = nonce;
	entryOf[change(nonce)] = n
}

/* apply executes a create that reaches the store. */
inline apply(n, nonce) {
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
		effect(n, nonce); assert(first[n] == nonce); result[me] = ACCEPTED; goto done }
	:: atomic { storeUp && losses > 0 -> losses--; doubt = true;
		if
		:: apply(n, nonce)
		:: skip
		:: nfull(late) -> late!n,nonce
		fi;
#ifdef FRESH_NONCE
		nonce = nonce + 4;
#endif
#ifdef NO_READ_BACK
		result[me] = REFUSED;
		assert(entryOf[me] == 0);
		goto done
#endif
	   }
	:: atomic { storeUp && cell[n] != 0 ->
		if
		:: cell[n] == nonce -> assert(first[n] == nonce); result[me] = ACCEPTED
#ifdef ANY_NONCE
		:: cell[n] != nonce && doubt -> assert(first[n] == nonce)
#endif
		:: cell[n] != nonce -> result[me] = REFUSED; assert(entryOf[me] == 0)
		fi;
		goto done }
	:: atomic { !storeUp && !doubt -> result[me] = REFUSED; assert(entryOf[me] == 0); goto done }
	:: atomic { doubt -> goto done }   /* no result: the outcome of the write is unknown */
	od;
done:	skip
}

proctype Network() {
	byte n, nonce;
end:	do
	:: atomic { late?n,nonce -> apply(n, nonce) }
	od
}

/* Pruner prunes all entries but the last. */
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
