// Package warmup limits the requests that cold upstreams get from all entries together.
//
// An upstream is cold for some seconds after its start, and may crash when it gets more requests
// than it can take. It looks idle to every entry, and many entries would each send it a request at
// the same moment.
//
// The limit holds by construction. An upstream that becomes cold has a fixed number of permits, and
// each permit belongs to one entry. The owner follows from the list of entries at the revision of
// the store at which the upstream became cold, so that entries agree without communication: an
// entry that is behind has no notice of the upstream yet, one that starts later owns nothing, and
// the permits of one that is gone stay unused until the upstream is warm. An entry that cannot
// determine the list at that revision, since its replica skipped changes, owns nothing either. A
// permit is taken for a request and becomes free one second after the upstream began to answer it,
// so that two arrivals under one permit are more than a second apart, however late a request was
// sent. If an attempt is given up without an answer, this holds only for the sending: a request
// that is still in transit may arrive together with the next one.
//
// The limit does not cover what the store does not report. Until it reports that an upstream is
// cold, an upstream that could not be reached a moment ago is treated as suspect: an entry uses no
// more than its permits there. An entry also limits all upstreams that it finds in the list when it
// starts, since each of them may be cold again after an evacuation; it uses one permit at each
// until the upstream itself has said that it is warm.
//
// # Usage
//
//	tr := warmup.New(self, warmup.Overshoot(1.5, 5))
//	tr.Started(now, warmup.Notice{Upstream: id, ColdFor: left, Entries: entries})
//	tr.Confirm(askedAt, now, id, left) // an upstream's own answer
//	available := tr.Available(now, hosts, limit, suspect)
//	pe, ok := tr.Acquire(now, ho, limit, suspect)
//	defer pe.Release(now) // when the response begins
package warmup
