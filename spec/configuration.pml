/* How an accepted configuration reaches processes, and why it never reverts.
 *
 * The store holds a chain of generations. Two processes may read it while it
 * is up, and send generations to each other over a link that delays and
 * duplicates messages. A process may restart at any time and then has no
 * generation; while the store is down it receives one from the peer only.
 *
 * Properties (assertions): a process never puts a generation in force that is
 * lower than one it had in force since its start; a generation in force was
 * accepted; a process without a generation serves nothing. In the end state each
 * process has the newest generation that any live process had.
 *
 * Bounds: 3 generations, 2 processes, 1 restart each, a link of 2 messages per
 * direction that may be duplicated once each, one outage of the store.
 */
// mutation: ADOPT_ANY    a process adopts any generation that arrives
// mutation: SERVE_EMPTY  a process serves before it has a configuration

#define LAST 3

byte accepted = 1;      /* generations 1..accepted are in the chain */
bool storeUp = true;
byte adopted[2];        /* the generation in force at each process; 0 is none */
byte highest[2];        /* the highest in force since the process's start */

chan link[2] = [2] of { byte };  /* link[p] carries messages to p */

inline adopt(p, g) {
	if
#ifdef ADOPT_ANY
	:: true -> adopted[p] = g
#else
	:: g > adopted[p] -> adopted[p] = g
	:: else
#endif
	fi;
	assert(adopted[p] <= accepted);
	assert(adopted[p] >= highest[p]);
	highest[p] = adopted[p]
}

proctype Process(byte p) {
	byte g;
	byte duplicates = 1, restarts = 1, sends = 3;
	do
	:: atomic { storeUp && adopted[p] < accepted -> adopt(p, accepted) }
	:: atomic { adopted[p] > 0 && sends > 0 && nfull(link[1-p]) -> link[1-p]!adopted[p]; sends-- }
	:: atomic { link[p]?g; adopt(p, g) }
	:: atomic { duplicates > 0 && nempty(link[p]) && nfull(link[p]) -> link[p]?<g>; link[p]!g; duplicates-- }
	:: atomic { restarts > 0 -> adopted[p] = 0; highest[p] = 0; restarts-- }
#ifdef SERVE_EMPTY
	:: atomic { restarts <= 1 -> assert(adopted[p] > 0) }
#else
	:: atomic { adopted[p] > 0 -> assert(adopted[p] > 0) }
#endif
	:: atomic { adopted[p] == accepted && accepted == LAST && empty(link[p]) -> break }
	od
}

proctype Operator() {
	do
	:: atomic { storeUp && accepted < LAST -> accepted++ }
	:: atomic { accepted == LAST -> break }
	od
}

proctype Outage() {
	if
	:: storeUp = false; storeUp = true
	:: skip
	fi
}

init {
	atomic { run Process(0); run Process(1); run Operator(); run Outage() }
}
