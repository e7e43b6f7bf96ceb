// Package loadlimit finds the load at which the upstreams of a version begin to fail.
//
// Some faults of a version need a load that its roll-out never had, and show only once a burst comes.
// The old version is gone by then. What still helps the callers is to keep each upstream below that
// load: the requests that would have failed there succeed elsewhere.
//
// An upstream that reports its load in its responses shows at which load each answer was made. The
// estimator compares the failures above a load with those at and below it, for every load. Both sides
// are of the same version and of the last seconds, so that failures that do not depend on the load, such
// as requests that fail everywhere, count alike on both. The entries add up their counts, since each
// alone sees too few answers.
//
// # Usage
//
//	var es loadlimit.Estimator
//	es.Observe(now, load, failed)          // for each answer
//	es.Merge(now, countsOfOtherEntries)    // from time to time
//	limit := es.Limit()
//	if limit.Max(slots) … // requests that an upstream with so many slots bears at a time
package loadlimit
