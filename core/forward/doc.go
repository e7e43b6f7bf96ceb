// Package forward sends an exchange to an upstream and returns its answer. It resolves the route
// and the workspace, chooses version, upstream and model, retries where that is safe, escalates
// in a cascade, and resumes a broken stream at another upstream.
//
// The order of events limits what may be reported to the caller. "Not run" is reported only when
// every attempt was refused by its upstream or was never sent. Work that may run at most once is
// not sent again once it may have run. An answer may be replaced by another one while the caller
// has received nothing of it; a partly delivered answer may only be resumed after its last complete
// event.
//
// The decisions do no I/O: they are made in [route], [balance], [canary] and [retry], and by this
// package's classification of replies and its timeouts. Network access goes through
// [core.UpstreamClient].
//
// # Usage
//
//	fw := forward.New(deps, client, forward.Components{…})
//	ans, err := fw.Forward(ctx, ex)      // err is a *core.Failure
//	defer ans.Close()
//	for chunk, err := ans.Next(); err == nil; chunk, err = ans.Next() { … }
package forward
