package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Attr is an attribute of a log line, with its value as JSON.
type Attr struct {
	Name  string
	Value json.RawMessage
}

// Line is one line of a log.
type Line struct {
	At    time.Time
	Event string
	// Process is the id of the process that wrote the line.
	Process string
	// Source is the file that contains the line.
	Source string
	Attrs  []Attr
}

// Get returns an attribute as text, or an empty string if the line does not have it.
func (li *Line) Get(name string) string {
	for _, at := range li.Attrs {
		if at.Name == name {
			return text(at.Value)
		}
	}
	return ""
}

// text returns a JSON value as text, strings without their quotes.
func text(raw json.RawMessage) string {
	var str string
	if json.Unmarshal(raw, &str) == nil {
		return str
	}
	return string(raw)
}

// Log holds the lines of any number of log files.
type Log struct {
	lines []Line
	// unparsed counts the lines that are not log lines of a process, by file.
	unparsed map[string]int
}

// Lines returns the lines in the order of their files. The slice is shared and must not be changed.
func (lo *Log) Lines() []Line { return lo.lines }

// Read adds the lines of a file. Lines that cannot be parsed are counted and skipped: the platform
// may write its own lines in between, and the last line may be incomplete.
func (lo *Log) Read(source string, rd io.Reader) error {
	br := bufio.NewReader(rd)
	for {
		row, err := br.ReadBytes('\n')
		if len(bytes.TrimSpace(row)) > 0 {
			lo.add(source, row)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return eris.Wrapf(err, "read %s", source)
		}
	}
}

func (lo *Log) add(source string, row []byte) {
	li, err := parse(row)
	if err != nil {
		if lo.unparsed == nil {
			lo.unparsed = map[string]int{}
		}
		lo.unparsed[source]++
		return
	}
	li.Source = source
	lo.lines = append(lo.lines, li)
}

// parse parses a line. The text before the first brace is skipped: log collectors put their own
// timestamp and the host's name there.
func parse(row []byte) (Line, error) {
	var li Line
	at := bytes.IndexByte(row, '{')
	if at < 0 {
		return li, eris.New("the line contains no JSON object")
	}
	dec := json.NewDecoder(bytes.NewReader(row[at:]))
	if _, err := dec.Token(); err != nil {
		return li, eris.Wrap(err, "line")
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return li, eris.Wrap(err, "line")
		}
		var val json.RawMessage
		if err := dec.Decode(&val); err != nil {
			return li, eris.Wrap(err, "line")
		}
		key, _ := name.(string)
		if err := li.set(key, val); err != nil {
			return li, err
		}
	}
	if li.Event == "" || li.At.IsZero() {
		return li, eris.New("the line has no \"time\" or no \"msg\"")
	}
	return li, nil
}

func (li *Line) set(name string, val json.RawMessage) error {
	switch name {
	case "time":
		return eris.Wrap(json.Unmarshal(val, &li.At), "time")
	case "msg":
		li.Event = text(val)
	case "process":
		li.Process = text(val)
	case "level", "event":
		// Both follow from the event's name, by the catalogue.
	default:
		li.Attrs = append(li.Attrs, Attr{name, val})
	}
	return nil
}

// processName returns the id of the process that wrote the line, or the file name if the line has
// no process id.
func (li *Line) processName() string {
	if li.Process == "" {
		return li.Source
	}
	return li.Process
}

// shortName returns the end of a process id, which distinguishes the processes of a deployment: ids
// are ordered by time, so they differ at the end.
func shortName(process string) string {
	const tail = 6
	if at := strings.LastIndexByte(process, '-'); at >= 0 && len(process)-at > tail {
		return process[len(process)-tail:]
	}
	return process
}
