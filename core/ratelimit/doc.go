// Package ratelimit keeps all entries together within the rate limits of upstreams.
//
// An overloaded upstream may report a limit in requests a second in its responses. It applies to the
// requests of all entries together, for as long as the upstream's responses contain it. A response
// without a limit ends it only if its request was sent after the limit became known: responses on
// different connections may overtake each other.
//
// The limit is divided among the entries without communication. Each entry ranks the registered
// entries for the upstream by rendezvous hashing; the first ones, the holders, have a token bucket
// each, with equal shares of the rate and of the burst. There are no more holders than requests in
// the burst, since a bucket that holds less than one request never grants any. The other entries
// use other upstreams. While entries have different lists of their siblings, more of them may
// consider themselves holders than there are; the burst leaves room for that.
//
// Entries announce limits to their siblings, so that these need not learn them from responses of
// their own. An entry for which a limit was not confirmed for some time, or whose sibling announced
// its end, may send one trial request beyond its share, whose response shows whether the limit still
// holds.
//
// # Usage
//
//	tr := ratelimit.New(self, entries)
//	hosts = tr.Available(now, hosts)
//	ok := tr.Acquire(now, &ho) // before each request
//	tr.Observe(now, ratelimit.Observation{Host: ho, Sent: sent, Limit: re.RateLimit})
//	siblings.Send(tr.TakeNotices(now))
package ratelimit
