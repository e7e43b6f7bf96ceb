// Package ratelimit keeps all entries together within the rate limits that upstreams name.
//
// An upstream that is overloaded may name a limit in requests a second. It applies to the requests
// of all entries together, for as long as the upstream's answers name it. An answer without a limit
// ends it only if its request was sent after the limit became known: answers on different
// connections may overtake each other.
//
// The limit is divided among the entries without communication. Each entry ranks the registered
// entries for the upstream by rendezvous hashing; the first ones, the holders, have a token bucket
// each, with equal parts of the rate and of the burst. There are no more holders than requests in
// the burst, since a bucket that holds less than one request never grants any. The other entries
// use other upstreams. While entries have different lists of their siblings, more of them may
// consider themselves holders than there are; the burst leaves room for that.
//
// Entries tell their siblings of limits, so that these need not learn by answers of their own. An
// entry that has not heard of a limit for some time, or was told that it has ended, may send one
// request beyond its part, whose answer tells whether the limit still holds.
//
// # Usage
//
//	tr := ratelimit.New(self, entries)
//	hosts = tr.Available(now, hosts)
//	ok := tr.Acquire(now, &ho) // before each request
//	tr.Observe(now, ratelimit.Answer{Host: ho, Sent: sent, Limit: re.RateLimit})
//	siblings.Send(tr.TakeNotices(now))
package ratelimit
