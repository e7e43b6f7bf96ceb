// Package declaration defines the operators' configuration: the document, its
// validation and comparison, and the generation that a process runs on.
//
// A [Document] is what an operator writes, as JSON with comments. A
// [Generation] is an accepted document with its audit record, in one value, so
// that neither can exist without the other. An [InForce] holds the
// configuration that a process uses. It only moves to a higher generation, so
// that a late or duplicate message cannot restore an older configuration.
//
// Checks report all [Mistakes] at once. A breach of a [Rule] about dangerous
// but legal changes can be accepted by an [AcceptRisk] entry of the document.
// Changes are tracked by [Scope], so that operators who change different parts
// do not conflict; package publish writes an accepted change to the store.
//
// # Usage
//
//	doc, err := declaration.Load(text)                 // schema and content, all mistakes at once
//	err = declaration.CheckChange(&cur.Document, &doc) // and the change from the current document
//	doc, err = declaration.Rebase(base, since, &doc)   // onto the newest generation, or Clashes
//	lines := declaration.Diff(&cur.Document, &doc)
//	inf := declaration.NewInForce()
//	inf.Adopt(raw)                                     // true if raw was newer
//	snap := inf.Current()                              // nil before the first generation
package declaration
