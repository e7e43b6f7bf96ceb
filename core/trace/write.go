package trace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clock formats the time of a line.
func clock(at time.Time) string { return at.UTC().Format("15:04:05.000") }

// Write prints the trace: its lines, counts of other requests at the same entries and upstreams, and
// what is missing. The request's own lines are marked with an asterisk.
func (tr *Trace) Write(w io.Writer) error {
	var sb strings.Builder
	fmt.Fprintf(&sb, "request %s\n", tr.Request)
	for i := range tr.Lines {
		tr.writeLine(&sb, &tr.Lines[i])
	}
	tr.writeOthers(&sb)
	if len(tr.Missing) == 0 {
		sb.WriteString("nothing is missing\n")
	}
	for _, text := range tr.Missing {
		fmt.Fprintf(&sb, "missing: %s\n", text)
	}
	_, err := io.WriteString(w, sb.String())
	return eris.Wrap(err, "write the trace")
}

func (tr *Trace) writeLine(sb *strings.Builder, li *Line) {
	mark := " "
	if li.Get("request") == string(tr.Request) {
		mark = "*"
	}
	fmt.Fprintf(sb, "%s %s %-8s %-20s", mark, clock(li.At), shortName(li.processName()), li.Event)
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

// writeOthers prints counts of the other requests at the same entries and upstreams.
func (tr *Trace) writeOthers(sb *strings.Builder) {
	for _, et := range tr.Entries {
		writeCounts(sb, shortName(et.Process), et.Begun, et.Refused, " refused as ")
	}
	for _, ut := range tr.Upstreams {
		writeCounts(sb, ut.Upstream, ut.Begun, ut.Ended, " ")
	}
}

func writeCounts(sb *strings.Builder, place string, begun int, counts map[string]int, separator string) {
	fmt.Fprintf(sb, "other requests at %s around that time: %d attempts begun", place, begun)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(sb, ", %d%s%s", counts[name], separator, name)
	}
	sb.WriteByte('\n')
}
