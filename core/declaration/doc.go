// Package declaration holds the operators' configuration: what they declare,
// how it is checked and compared, and which generation of it is in force in a
// process.
//
// A [Document] is what an operator writes, as JSON with comments. A
// [Generation] is an accepted document with its audit record, in one value, so
// that neither can exist without the other. An [InForce] is a process's view:
// it only ever moves to a higher generation, so a late or doubled message can
// not bring an older configuration back.
//
// Checks report all [Mistakes] at once. A [Rule] that guards against what is
// dangerous but legal yields to an [AcceptRisk] of the document. A change is cut
// by [Scope] so that operators who change different parts do not get into each
// other's way; package publish puts it in force.
//
// # Usage
//
//	doc, err := declaration.Load(text)                 // form and content, all mistakes at once
//	err = declaration.CheckChange(&cur.Document, &doc) // and the step from what is in force
//	doc, err = declaration.Rebase(base, since, &doc)   // over others' changes, or Clashes
//	lines := declaration.Diff(&cur.Document, &doc)
//	inf := declaration.NewInForce()
//	inf.Adopt(raw)                                     // true if it was newer
//	snap := inf.Current()                              // nil before the first one
package declaration
