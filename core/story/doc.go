// Package story puts together what the log lines of several processes tell of
// one request, and says what they do not tell.
//
// A request is told of by the lines with its id, at every entry that saw it, and
// by what those entries believed at the time: the upstreams it was sent to, the
// configuration, the roll-outs, the store. Lines may be missing, since a process
// was killed or left lines out; whoever reads a story must know where.
//
// # Usage
//
//	var lo story.Log
//	err := lo.Read("gateway-1.log", file)          // for each file
//	st := lo.Tell("2a05daab3234778d")
//	err = st.Write(os.Stdout)
package story
