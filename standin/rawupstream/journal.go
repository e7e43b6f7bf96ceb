package rawupstream

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Run is a run of a request, as the upstream saw it.
type Run struct {
	Upstream, Request string
	// After is the last event of an earlier run, after which this one continues; empty from the beginning.
	After string
	Begin time.Time
	// End is zero if the upstream itself ended before the run did.
	End time.Time
	// Complete is set if the run came to its end and was not canceled.
	Complete bool
	// Status and Body are those of the success that it was answered with; 0 if there was none. Streams and
	// failures are not recorded.
	Status int
	Body   string
}

// entry is one line of a journal.
type entry struct {
	// Run numbers the runs of the journal's process.
	Run      int    `json:"run"`
	Upstream string `json:"upstream"`
	Request  string `json:"request"`
	After    string `json:"after,omitempty"`
	// At is in nanoseconds since 1970.
	At       int64 `json:"at"`
	Ended    bool  `json:"ended,omitempty"`
	Complete bool  `json:"complete,omitempty"`
	// Status is set for a success that is about to be sent.
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
}

// journal writes each begin and end at once, so that nothing is lost when the process is killed.
type journal struct {
	mu       sync.Mutex
	out      io.Writer
	upstream string
	runs     int
}

func (jo *journal) begin(request, after string) int {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.runs++
	jo.write(entry{Run: jo.runs, Request: request, After: after})
	return jo.runs
}

func (jo *journal) end(request string, run int, complete bool) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.write(entry{Run: run, Request: request, Ended: true, Complete: complete})
}

// answer records a success before it is sent.
func (jo *journal) answer(request string, run, status int, body string) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.write(entry{Run: run, Request: request, Status: status, Body: body})
}

// write panics if the journal cannot be written: a check of an incomplete one would mean nothing.
func (jo *journal) write(en entry) {
	en.Upstream, en.At = jo.upstream, time.Now().UnixNano()
	raw, err := json.Marshal(en)
	if err == nil {
		_, err = jo.out.Write(append(raw, '\n'))
	}
	if err != nil {
		panic(fmt.Sprintf("rawupstream: the journal cannot be written: %v", err))
	}
}

// ReadJournal returns the runs of a journal of one process.
func ReadJournal(rd io.Reader) ([]Run, error) {
	var out []Run
	index := map[int]int{}
	sc := bufio.NewScanner(rd)
	for sc.Scan() {
		var en entry
		if err := json.Unmarshal(sc.Bytes(), &en); err != nil {
			return nil, fmt.Errorf("journal of runs: %w", err)
		}
		at := time.Unix(0, en.At)
		i, begun := index[en.Run]
		switch {
		case !begun:
			index[en.Run] = len(out)
			out = append(out, Run{Upstream: en.Upstream, Request: en.Request, After: en.After, Begin: at})
		case en.Status != 0:
			out[i].Status, out[i].Body = en.Status, en.Body
		case en.Ended:
			out[i].End, out[i].Complete = at, en.Complete
		}
	}
	return out, sc.Err()
}
