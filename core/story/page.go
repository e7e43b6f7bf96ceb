package story

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clock renders the time of a line.
func clock(at time.Time) string { return at.UTC().Format("15:04:05.000") }

// Write prints a story: its lines, how others fared, and what is missing. The
// request's own lines are marked.
func (st *Story) Write(w io.Writer) error {
	var sb strings.Builder
	fmt.Fprintf(&sb, "request %s\n", st.Request)
	for i := range st.Lines {
		st.line(&sb, &st.Lines[i])
	}
	st.others(&sb)
	if len(st.Missing) == 0 {
		sb.WriteString("nothing is missing\n")
	}
	for _, text := range st.Missing {
		fmt.Fprintf(&sb, "missing: %s\n", text)
	}
	_, err := io.WriteString(w, sb.String())
	return eris.Wrap(err, "story")
}

func (st *Story) line(sb *strings.Builder, li *Line) {
	mark := " "
	if li.Get("request") == string(st.Request) {
		mark = "*"
	}
	fmt.Fprintf(sb, "%s %s %-8s %-20s", mark, clock(li.At), short(li.who()), li.Event)
	for _, at := range li.Attrs {
		val := text(at.Value)
		if at.Name == "zone" || val == "" || at.Name == "request" && mark == "*" {
			continue
		}
		if strings.ContainsRune(val, ' ') {
			val = `"` + val + `"`
		}
		fmt.Fprintf(sb, " %s=%s", at.Name, val)
	}
	sb.WriteByte('\n')
}

// others tells how other requests fared at the same entries and upstreams.
func (st *Story) others(sb *strings.Builder) {
	for _, tr := range st.Entries {
		tally(sb, short(tr.Process), tr.Begun, tr.Refused, " refused as ")
	}
	for _, ne := range st.Neighbours {
		tally(sb, ne.Upstream, ne.Begun, ne.Ended, " ")
	}
}

func tally(sb *strings.Builder, where string, begun int, counts map[string]int, word string) {
	fmt.Fprintf(sb, "others at %s around that time: %d attempts begun", where, begun)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(sb, ", %d%s%s", counts[name], word, name)
	}
	sb.WriteByte('\n')
}
