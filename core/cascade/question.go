package cascade

import "skylarkstand/core"

// Class groups requests that are alike in how hard, costly and slow they are.
type Class int

// classBounds are the lengths of prompts, in bytes, at which the next class
// begins: a question, a paragraph, a page, a document. Each class learns by
// itself, so more classes would learn more slowly: with four, a workspace of
// one request a second has enough ratings of each within minutes.
var classBounds = [...]int{256, 2 << 10, 16 << 10}

// ClassOf returns the class of a prompt of so many bytes.
func ClassOf(length int) Class {
	for i, bound := range classBounds {
		if length < bound {
			return Class(i)
		}
	}
	return Class(len(classBounds))
}

// Stage is one stage of a cascade as the configuration declares it.
type Stage struct {
	Target core.ModelVersion
	// Declared is the quality that counts until ratings say otherwise.
	Declared core.Quality
	// Cost is what the stage is expected to cost before it was ever run.
	Cost core.Millicents
}

// Question is one request at a cascade.
type Question struct {
	Workspace core.WorkspaceID
	Cascade   core.CascadeID
	Class     Class
	// Target is the quality that the workspace's mix shall have.
	Target core.Quality
	// LatencyPrice is what a second of waiting is worth.
	LatencyPrice core.Millicents
	// Stages run from cheap to costly. There is at least one.
	Stages []Stage
}

// Fallback returns the stage to run where no rating can be had: the first, and
// so the cheapest, whose declared quality meets the target, or the best one.
//
// The rating service may be away or late. A cascade that went on waiting for
// it would add its limit to every answer, and one that took unrated cheap
// answers for good would miss the target unnoticed until the service is back.
func (qu *Question) Fallback() int {
	best := 0
	for i, st := range qu.Stages {
		if st.Declared >= qu.Target {
			return i
		}
		if st.Declared > qu.Stages[best].Declared {
			best = i
		}
	}
	return best
}
