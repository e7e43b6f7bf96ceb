// Slopes measures what each process pays per link, change, request, token and
// call of the store, at three sizes or more each, and fits a straight line.
// It writes the table docs/slopes.md and renews the products in
// docs/CAPACITY.md that are computed from it.
//
// Entries and agents whose memory and processor time are measured are
// processes of their own; the many small peers that they talk with run in this
// one process. All traffic is on loopback.
//
// # Usage
//
//	go run ./test/slopes           # all sections, writes both pages
//	go run ./test/slopes links     # one section, prints only
//	go run ./test/slopes page      # renews the products alone
package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// section measures some slopes.
type section struct {
	name string
	run  func(*report) error
}

// report gathers what the sections measured.
type report struct {
	slopes []slope
	notes  []string
}

func (re *report) add(name, what, per string, dim dimension, pts []point) {
	sl := newSlope(name, what, per, dim, pts)
	re.slopes = append(re.slopes, sl)
	fmt.Println(sl.row())
}

var sections = []section{
	{"links", measureLinks},
	{"hosts", measureHosts},
	{"configuration", measureConfiguration},
	{"entries", measureEntries},
	{"control", measureControl},
	{"store", measureStore},
	{"operators", measureOperators},
	{"path", measurePath},
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) > 0 && args[0] == "page" {
		return renewPage()
	}
	re := new(report)
	began := time.Now()
	for _, se := range sections {
		if len(args) > 0 && args[0] != se.name {
			continue
		}
		if err := se.run(re); err != nil {
			return fmt.Errorf("%s: %w", se.name, err)
		}
		fmt.Printf("# %s done after %.0f s\n", se.name, time.Since(began).Seconds())
	}
	if len(args) > 0 {
		return nil
	}
	if err := os.WriteFile(tablePath, []byte(re.page(loadAverage())), 0o644); err != nil {
		return err
	}
	return renewPage()
}

const (
	tablePath    = "docs/slopes.md"
	capacityPath = "docs/CAPACITY.md"
)

// page writes docs/slopes.md.
func (re *report) page(load string) string {
	var sb strings.Builder
	sb.WriteString("# Slopes\n\nWritten by `make slopes`; don't edit. Each line is a straight line through\n" +
		"measurements at the sizes of the last column. Bytes are in units of 1,000.\n" +
		"[CAPACITY.md](CAPACITY.md) multiplies these figures.\n\n")
	fmt.Fprintf(&sb, "The machine was shared during the run; its load average (1, 5, 15 minutes) was\n%s at the end of the run.\n\n", load)
	sb.WriteString(tableHead)
	for _, sl := range re.slopes {
		sb.WriteString(sl.row() + "\n")
	}
	for _, note := range re.notes {
		sb.WriteString("\n" + note)
	}
	return sb.String()
}

// loadAverage tells how busy the machine was.
func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 3 {
		return "not known"
	}
	return strings.Join(fields[:3], ", ")
}

func renewPage() error {
	table, err := os.ReadFile(tablePath)
	if err != nil {
		return err
	}
	slopes, err := parseSlopes(string(table))
	if err != nil {
		return err
	}
	old, err := os.ReadFile(capacityPath)
	if err != nil {
		return err
	}
	page, err := recompute(string(old), slopes)
	if err != nil {
		return err
	}
	return os.WriteFile(capacityPath, []byte(page), 0o644)
}
