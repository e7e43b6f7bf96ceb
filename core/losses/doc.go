// Package losses says why callers got less than they could, from the log lines
// of gateways alone: for each request one cause out of a closed list, summed by
// route and by time.
//
// It is made for the engineer who asks what to mend first, and for whoever
// changes a decision and wants to know what that moved. A request counts once
// for each time that its caller sends it, since nothing in a log joins the two.
//
// What a log does not say: whether a model's answer was right, what an answer is
// worth to its caller, and what became of callers that found no entry. A request
// whose lines stop without an end is put down to the end of its process; where a
// process left lines out, some of these are only its log's, and the table says
// how many lines lack.
//
// # Usage
//
//	ta := losses.Count(lo.Lines(), 2*time.Second)
//	err := ta.Write(os.Stdout)
package losses
