package cascade

import "skylarkstand/core"

// Class groups requests of similar difficulty, cost and latency.
type Class int

// classBounds are the prompt lengths, in bytes, at which the next class begins: a
// question, a paragraph, a page, a document. Each class has its own estimates, so more
// classes would learn more slowly: with four, a workspace with one request per second
// gets enough ratings of each class within minutes.
var classBounds = [...]int{256, 2 << 10, 16 << 10}

// ClassOf returns the class of a prompt with the given length in bytes.
func ClassOf(length int) Class {
	for i, bound := range classBounds {
		if length < bound {
			return Class(i)
		}
	}
	return Class(len(classBounds))
}

// Stage is one stage of a cascade, as declared in the configuration.
type Stage struct {
	Target core.ModelVersion
	// DeclaredQuality is the declared quality, used until there are enough ratings.
	DeclaredQuality core.Quality
	// Cost is the expected cost of the stage, used until it was run.
	Cost core.Millicents
}

// Request is a request to a cascade.
type Request struct {
	Workspace core.WorkspaceID
	Cascade   core.CascadeID
	Class     Class
	// Target is the target quality of the workspace's mix.
	Target core.Quality
	// LatencyPrice is the price of a second of latency.
	LatencyPrice core.Millicents
	// Stages are ordered from cheap to costly. There is at least one.
	Stages []Stage
}

// Fallback returns the stage to run if no rating is available: the first, and so the
// cheapest, whose declared quality meets the target, or else the one with the highest
// declared quality.
//
// The rating service may be down or slow. A cascade that kept waiting for it would add
// its timeout to every answer, and one that accepted unrated cheap answers would miss
// the target unnoticed until the service is back.
func (rq *Request) Fallback() int {
	best := 0
	for i, st := range rq.Stages {
		if st.DeclaredQuality >= rq.Target {
			return i
		}
		if st.DeclaredQuality > rq.Stages[best].DeclaredQuality {
			best = i
		}
	}
	return best
}
