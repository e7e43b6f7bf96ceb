/* How an accepted configuration reaches processes, and why it never reverts.
 *
 * The store holds a chain of generations. Two processes may read it while it
 * is up, and hand generations to each other over a link that delays and
 * doubles messages. A process may restart at any time and then knows nothing;
 * while the store is down it learns from the peer alone.
 *
 * Properties (assertions): a process never puts a generation in force that is
 * lower than one it had in force since its start; what is in force was
 * accepted; a process that knows nothing serves nothing. In the end state each
 * process has the newest generation that any live process knew.
 *
 * Bounds: 3 generations, 2 processes, 1 restart each, a link of 2 messages a
 * way that may be doubled once each, one outage of the store.
 */
// mutation: ADOPT_ANY      a process adopts whatever arrives
// mutation: SERVE_EMPTY    a process serves before it knows a configuration

#define LAST 3

byte accepted = 1;      /* generations 1..accepted stand in the chain */
bool storeUp = true;
byte force[2];          /* in force at each process; 0 is none */
byte highest[2];        /* the highest since the process's start */

chan link[2] = [2] of { byte };  /* link[p] carries messages to p */

inline adopt(p, g) {
	if
#ifdef ADOPT_ANY
	:: true -> force[p] = g
#else
	:: g > force[p] -> force[p] = g
	:: else
#endif
	fi;
	assert(force[p] <= accepted);
	assert(force[p] >= highest[p]);
	highest[p] = force[p]
}

proctype Process(byte p) {
	byte g;
	byte doubled = 1, restarts = 1, sends = 3;
	do
	:: atomic { storeUp && force[p] < accepted -> adopt(p, accepted) }
	:: atomic { force[p] > 0 && sends > 0 && nfull(link[1-p]) -> link[1-p]!force[p]; sends-- }
	:: atomic { link[p]?g; adopt(p, g) }
	:: atomic { doubled > 0 && nempty(link[p]) && nfull(link[p]) -> link[p]?<g>; link[p]!g; doubled-- }
	:: atomic { restarts > 0 -> force[p] = 0; highest[p] = 0; restarts-- }
#ifdef SERVE_EMPTY
	:: atomic { restarts <= 1 -> assert(force[p] > 0) }
#else
	:: atomic { force[p] > 0 -> assert(force[p] > 0) }
#endif
	:: atomic { force[p] == accepted && accepted == LAST && empty(link[p]) -> break }
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
