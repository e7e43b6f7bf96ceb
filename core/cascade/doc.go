// Package cascade decides at which stage of a model cascade a request starts, and
// whether it escalates to a later stage once a response was rated.
//
// It is designed for a mix of requests of which a small model answers most well
// enough, and for workspaces that price latency differently. It avoids two costs:
// paying for the large model where the small one suffices, and running the small
// one in vain before the large one, which costs money and the latency of both.
//
// The [Learner] estimates the pass rate, cost and latency of each stage, per
// workspace, cascade and request class. The quality target applies to the mix of
// all requests of a workspace to a cascade. The shortfall of the mix accumulates as
// a deficit, which sets the monetary value of a good answer. A stage is run if its
// expected quality at that value exceeds its expected cost plus the price of its
// latency. A mix above its target thus becomes cheaper until it meets the target,
// and a mix below it becomes better.
//
// # Usage
//
//	le := cascade.NewLearner()
//	de := le.Start(now, rq, rand.Float64())
//	… run rq.Stages[de.Stage] …
//	le.RecordRun(now, rq, de.Stage, cost, took)
//	le.RecordRating(now, rq, de.Stage, cascade.First, rating)
//	de, more := le.Next(now, rq, de.Stage, rating, waited)
//	le.RecordResult(rq, rating, waited)
//
// If no rating is available, [Request.Fallback] returns the stage to run.
package cascade
