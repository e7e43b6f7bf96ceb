package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Write prints the table, the most frequent causes first.
func (ta *Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "why\trequests\tin 100\n")
	for _, ca := range ta.Total.causes() {
		n := ta.Total.Lost[ca]
		fmt.Fprintf(tw, "%s\t%d\t%.1f\n", ca, n, 100*float64(n)/float64(ta.Total.Requests))
	}
	fmt.Fprintf(tw, "all requests\t%d\t\n", ta.Total.Requests)
	writeRows(tw, "route", ta.Routes)
	writeRows(tw, "from", ta.Spans)
	fmt.Fprintf(tw, "\nmodel\tattempts\tescalated\ttokens prefilled\ttokens cached\n")
	for _, mu := range ta.Models {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\n", mu.Model, mu.Attempts, mu.Escalated, mu.PrefilledTokens, mu.CachedTokens)
	}
	if ta.Dropped > 0 {
		fmt.Fprintf(tw, "\n%d log lines were dropped by processes; some requests without a logged end only lack that line.\n", ta.Dropped)
	}
	return eris.Wrap(tw.Flush(), "write")
}

func writeRows(w io.Writer, head string, rows []Row) {
	fmt.Fprintf(w, "\n%s\trequests\tlost\twhy\n", head)
	for _, ro := range rows {
		var causes []string
		lost := 0
		for _, ca := range ro.causes() {
			lost += ro.Lost[ca]
			causes = append(causes, fmt.Sprintf("%s %d", ca, ro.Lost[ca]))
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", cmp.Or(ro.Name, "(none)"), ro.Requests, lost, strings.Join(causes, ", "))
	}
}

// causes lists the causes of the lost requests, the most frequent first.
func (ro *Row) causes() []Cause {
	var out []Cause
	for ca := range ro.Lost {
		out = append(out, ca)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(ro.Lost[b], ro.Lost[a]), cmp.Compare(a, b))
	})
	return out
}
