// Package warmup limits what cold upstreams get from all entries together.
//
// An upstream is cold for some seconds after its start, and may crash when it gets
// more requests than it can take. To many entries it looks idle, and each of them
// would send it a request at the same moment.
//
// The limit holds by construction. An upstream that becomes cold has a fixed number
// of permits, and each permit belongs to one entry. Which entry that is follows
// from the list of entries at the revision of the store by which the upstream
// became cold, so that entries agree without asking: one that is behind has not
// heard that there is anything to send to, one that starts later owns nothing, and
// the permits of one that is gone stay unused until the upstream is warm. An entry
// that cannot tell the list at that revision, since its copy skipped changes, owns
// nothing either. A permit is taken for a request and is free again one second
// after the upstream began to answer it, so that two arrivals by one permit are
// more than a second apart, however late a request was sent. Where an attempt is
// given up unanswered, that holds for the sending alone: what is still on its way
// may arrive beside the next request.
//
// Not covered is what the store does not tell. Until it tells that an upstream is
// cold, one that could not be reached a moment ago is treated as suspect: an entry
// uses no more than its permits there. So are all upstreams that an entry finds in
// the list when it starts, of which each may be back from an evacuation; it uses
// one permit at each.
//
// # Usage
//
//	tr := warmup.New(self, warmup.Overshoot(1.5, 5))
//	tr.Started(now, warmup.Notice{Upstream: id, ColdFor: left, Entries: entries})
//	open := tr.Open(now, hosts, bound, suspect)
//	pe, ok := tr.Take(now, ho, bound, suspect)
//	defer pe.Release(now) // at the beginning of the answer
package warmup
