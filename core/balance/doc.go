// Package balance chooses the upstream of an attempt that goes there directly.
//
// It is made for batching engines and for small pools of plain services, seen
// by a few entries of which each knows its own attempts at once and those of
// the others only from the load that answers report. The choice is the
// upstream that is expected to begin its answer first: what must be read of the
// prompt, what waits to be read there already, how many share the batch, how
// far away it is, and what was seen of its health. How fast engines read is
// learned for each model, so that a short queue of long prompts is told from a
// long one of short prompts. Waiting is free for a caller until its answer would
// be late; up to there, a prompt goes where its beginning is kept.
//
// What it prevents: all entries taking the upstream with the best old report;
// prompts read anew beside an engine that has them in memory; a slow or failing
// upstream that looks idle because it was avoided; bytes over the paid link
// between regions for a gain of a few milliseconds.
//
// All of it is pure: time and randomness come in as arguments.
//
// # Usage
//
//	pk := balance.New(zone, region)
//	ho, ok := pk.Pick(now, hosts, balance.Request{Model: mo, Parts: parts, Prompt: 17_000}, rand.Float64)
//	fl := pk.Sent(now, ho, rq)
//	pk.Begun(now, fl, load)              // at the answer's header
//	pk.Ended(now, fl, balance.Good)
package balance
