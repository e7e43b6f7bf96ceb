// Package core is the root package of skylarkstand: the named types for ids
// and units, the messages that pass between layers, the errors a caller can be
// told, and the interfaces to everything outside a process.
//
// Decision logic lives in the packages below core. It is pure: time and
// randomness come in as arguments, and nothing below core opens a socket. The
// implementations of the interfaces live in packages under io, one for each
// peer, and can be exchanged without a change here.
//
// # Usage
//
// A package below core takes a [Deps] and the interfaces it needs:
//
//	tbl := claim.New(deps, store)
//	own, err := tbl.Claim(ctx, key, digest, attempt)
//
// A process wires implementations to interfaces in package app.
package core
