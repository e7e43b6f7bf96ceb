// Package balance selects the upstream of an attempt that an entry sends directly.
//
// It is designed for batching engines and for small pools of plain services behind several entries.
// An entry counts its own attempts immediately. The load caused by other entries is taken from
// response headers and from the announcements of sibling entries. It selects the upstream with the
// earliest expected first byte, from the uncached part of the prompt, the prefill work that is
// queued there, the size of the batch, the network distance and the recent failures. The prefill
// rate is learned for each model, so that a short queue of long prompts is distinguished from a
// long queue of short ones. A long wait is penalized only when it would make the response late;
// up to that point, a prompt goes where its prefix is cached.
//
// It prevents: all entries selecting the same upstream, which looked idle in an outdated report;
// prefill of a prompt that another engine has cached; a slow or failing upstream that looks idle
// because it was avoided; traffic over the link between regions, which is paid by volume, for a gain
// of a few milliseconds.
//
// The package has no clock and no random source of its own: both come in as arguments.
//
// # Usage
//
//	pk := balance.New(zone, region)
//	ho, ok := pk.Pick(now, hosts, balance.Request{Model: mo, Parts: parts, Prompt: 17_000}, rand.Float64)
//	fl := pk.RecordSent(now, ho, rq)
//	pk.RecordHeader(now, fl, rq, load)          // at the response header
//	pk.RecordEnd(now, fl, balance.Good)
package balance
