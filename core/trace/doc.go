// Package trace reconstructs one request from the log lines of several processes, and reports why
// lines may be missing from the logs.
//
// The reconstruction consists of the lines with the request's id, from every entry that received
// it, and of the lines about the state of those entries at that time: the upstreams that the request
// was sent to, the configuration, the roll-outs, the store. Lines may be missing because a process
// was killed or dropped lines; the output shows where.
//
// # Usage
//
//	var lo trace.Log
//	err := lo.Read("gateway-1.log", file)          // for each file
//	st := lo.Trace("2a05daab3234778d")
//	err = st.Write(os.Stdout)
package trace
