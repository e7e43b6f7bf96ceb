// Package declaration holds the operators' configuration: what they declare,
// how it is checked, and which generation of it is in force in a process.
//
// A [Document] is what an operator writes, as JSON with comments. A
// [Generation] is an accepted document with its audit record, in one value, so
// that neither can exist without the other. An [InForce] is a process's view:
// it only ever moves to a higher generation, so a late or doubled message can
// not bring an older configuration back.
//
// # Usage
//
//	doc, err := declaration.Parse(text)
//	if err := doc.Check(); err != nil { … }   // all mistakes at once
//	inf := declaration.NewInForce()
//	inf.Adopt(gen)                            // true if it was newer
//	snap := inf.Current()                     // nil before the first one
package declaration
