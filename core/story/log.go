package story

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

// Attr is an attribute of a line, with its value as JSON.
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
	// Source is the file it stood in.
	Source string
	Attrs  []Attr
}

// Get returns an attribute as text; empty is none.
func (li *Line) Get(name string) string {
	for _, at := range li.Attrs {
		if at.Name == name {
			return text(at.Value)
		}
	}
	return ""
}

// text renders a value without the quotes of a string.
func text(raw json.RawMessage) string {
	var str string
	if json.Unmarshal(raw, &str) == nil {
		return str
	}
	return string(raw)
}

// Log is the lines of any number of files.
type Log struct {
	lines []Line
	// unread counts the lines that are none of a process, by file.
	unread map[string]int
}

// Lines returns the lines in the order of their files. They are shared and must
// not be changed.
func (lo *Log) Lines() []Line { return lo.lines }

// Read takes in a file. Lines that cannot be read are counted and passed over:
// a platform may write its own between them, and the last one may be cut.
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
		if lo.unread == nil {
			lo.unread = map[string]int{}
		}
		lo.unread[source]++
		return
	}
	li.Source = source
	lo.lines = append(lo.lines, li)
}

// parse reads a line. What stands before the first brace is passed over:
// collectors put their own time and the host's name there.
func parse(row []byte) (Line, error) {
	var li Line
	at := bytes.IndexByte(row, '{')
	if at < 0 {
		return li, eris.New("the line is not JSON")
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
		return li, eris.New("the line has no time or no event")
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
		// The catalogue has both by the event's name.
	default:
		li.Attrs = append(li.Attrs, Attr{name, val})
	}
	return nil
}

// who names the process of a line: by its id where it says it, or by its file.
func (li *Line) who() string {
	if li.Process == "" {
		return li.Source
	}
	return li.Process
}

// short cuts ids of processes to the part that tells those of a deployment
// apart; ids are ordered by time, so that they differ at the end.
func short(who string) string {
	const tail = 6
	if at := strings.LastIndexByte(who, '-'); at >= 0 && len(who)-at > tail {
		return who[len(who)-tail:]
	}
	return who
}
