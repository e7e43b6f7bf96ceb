// Package forward takes an exchange to an upstream and its answer back: it
// finds the route and the workspace, chooses version, upstream and model, tries
// again where that is safe, climbs in a cascade, and goes on with a stream
// elsewhere when it breaks.
//
// The order of things decides what may be told to the caller. "Not run" is said
// only when every attempt was refused by its upstream, or never left. Work that
// may run at most once is not sent again after it may have run. An answer of
// which the caller has nothing may be dropped for another; one that it has a
// part of may only go on after the last whole event.
//
// Decisions are in packages of their own: [route], [balance], [canary],
// [retry], and the rules of this package in judge.go and patience.go. They are
// pure. Sockets are behind [core.Access].
//
// # Usage
//
//	fw := forward.New(deps, access, forward.Parts{…})
//	ans, err := fw.Forward(ctx, ex)      // err is a *core.Failure
//	defer ans.Close()
//	for piece, err := ans.Next(); err == nil; piece, err = ans.Next() { … }
package forward
