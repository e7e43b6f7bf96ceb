package retryusage

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Write prints a table for each span.
func Write(w io.Writer, spans []Span) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, sp := range spans {
		if i > 0 {
			fmt.Fprintln(tw)
		}
		fmt.Fprintf(tw, "service %s: %d retries from %s on, for %d requests\n", sp.Service, sp.Retries, sp.From.UTC().Format(time.RFC3339Nano), sp.Requests)
		purposes := sp.purposes()
		fmt.Fprint(tw, "entry\trequests\tretried")
		for _, pu := range purposes {
			fmt.Fprintf(tw, "\t%s", pu)
		}
		fmt.Fprint(tw, "\trefused\n")
		for _, us := range sp.Entries {
			fmt.Fprintf(tw, "%s\t%d\t%d", us.Entry, us.Requests, us.Retried)
			for _, pu := range purposes {
				fmt.Fprintf(tw, "\t%d", us.Retries[pu])
			}
			fmt.Fprintf(tw, "\t%d\n", us.Refused)
		}
	}
	return eris.Wrap(tw.Flush(), "write")
}

func (sp *Span) purposes() []string {
	all := map[string]bool{}
	for _, us := range sp.Entries {
		for pu := range us.Retries {
			all[pu] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
