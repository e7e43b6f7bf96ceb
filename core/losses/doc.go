// Package losses classifies why callers got no answer, or a worse one than possible, from the log
// lines of gateways alone: each request has one cause out of a fixed list, and the causes are
// counted by route and by time.
//
// It shows an engineer what to fix first, and what a change of the decision logic has changed. A
// request counts once for each time that its caller sends it, because nothing in a log connects the
// two.
//
// A log does not contain whether a model's answer was right, what an answer is worth to its caller,
// and what happened to callers that reached no entry. A request without a line about its end is
// attributed to the end of its process. If a process dropped log lines, some of these requests did
// end, and only the line is missing; the table shows the number of dropped lines.
//
// # Usage
//
//	ta := losses.Count(lo.Lines(), 2*time.Second)
//	err := ta.Write(os.Stdout)
package losses
