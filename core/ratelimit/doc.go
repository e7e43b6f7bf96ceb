// Package ratelimit tracks the rate limits that upstreams name in their answers.
//
// An upstream that is overloaded may name a limit in requests a second. It applies to the requests
// of all entries together, for as long as the upstream's answers name it. An answer without a limit
// ends it only if its request was sent after the limit became known: answers on different
// connections may overtake each other.
//
// # Usage
//
//	tr := ratelimit.New(self, entries)
//	tr.Observe(now, ratelimit.Answer{Host: ho, Sent: sent, Limit: re.RateLimit})
package ratelimit
