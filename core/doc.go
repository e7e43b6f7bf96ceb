// Package core is the root package of skylarkstand: the named types for ids and units, the messages
// that pass between layers, the errors that are returned to callers, and the interfaces to
// everything outside a process.
//
// The decision logic is in the packages below core. It is pure: time and randomness are arguments,
// and nothing below core opens a socket. The implementations of the interfaces are in packages
// under io, one for each kind of peer, and can be replaced without a change here.
//
// # Usage
//
// The constructor of a package below core takes a [Deps] and the interfaces that it needs:
//
//	tbl := claim.New(deps, store)
//	own, err := tbl.Claim(ctx, key, digest, attempt)
//
// Package app wires the implementations to the interfaces.
package core
