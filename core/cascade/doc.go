// Package cascade decides with which stage of a cascade a request begins and
// whether it goes on after a stage was rated.
//
// It is made for a mix of requests of which a cheap model answers most well
// enough, and for workspaces that weigh waiting differently. The harm that it
// prevents is twofold: paying the costly model for what the cheap one can do,
// and running the cheap one in vain before the costly one, which costs money
// and makes the caller wait for both.
//
// The [Learner] keeps, for each workspace, cascade and request class, how
// often a stage passes, what it costs and how long it takes. The quality
// target is met over the mix of a workspace's requests. How far the mix is
// below it is a debt; the debt sets what a good answer is worth in money, and
// a stage is run when its expected quality at that worth exceeds its expected
// cost and the price of its latency. A mix above its target so gets cheaper
// until it is at its target, and one below it gets better.
//
// # Usage
//
//	le := cascade.NewLearner()
//	de := le.Start(now, qu, rand.Float64())
//	… run qu.Stages[de.Stage] …
//	le.Ran(now, qu, de.Stage, cost, took)
//	le.Rated(now, qu, de.Stage, cascade.First, rating)
//	de, more := le.Next(now, qu, de.Stage, rating, waited)
//	le.Done(qu, rating, waited)
//
// Where no rating can be had, [Question.Fallback] names the stage to run.
package cascade
