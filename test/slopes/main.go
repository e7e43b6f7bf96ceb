// Slopes measures what each process uses per link, configuration change, request, token and store
// call, at three or more sizes each, and fits a straight line to every series. It writes the table
// docs/slopes.md and recomputes the results in docs/CAPACITY.md that depend on it.
//
// Entries and agents whose memory and processor time are measured run as separate processes; their
// many small peers all run in this process. All traffic is on loopback.
//
// # Usage
//
//	go run ./test/slopes           # measures all sections, writes both pages
//	go run ./test/slopes links     # measures one section, only prints it
//	go run ./test/slopes page      # only recomputes docs/CAPACITY.md
package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// section is a group of slopes that are measured together.
type section struct {
	name string
	run  func(*report) error
}

// report collects the slopes and further text of all sections.
type report struct {
	slopes []slope
	notes  []string
}

// add fits a line to the points, records the slope and prints its row.
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
		return updatePage()
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
	return updatePage()
}

const (
	tablePath    = "docs/slopes.md"
	capacityPath = "docs/CAPACITY.md"
)

// page returns the text of docs/slopes.md; load is the load average of the machine.
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

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 3 {
		return "not known"
	}
	return strings.Join(fields[:3], ", ")
}

// updatePage recomputes docs/CAPACITY.md from docs/slopes.md.
func updatePage() error {
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
