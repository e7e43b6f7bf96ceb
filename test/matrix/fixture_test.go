package matrix_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/ledger"
	"skylarkstand/test/figure"
	"skylarkstand/test/fleet"
)

// binDir is the directory of the programs that the cells run.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "matrix")
	if err == nil {
		build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "skylarkstand", "skylarkstand/standin")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot build the programs under test:", err)
		os.Exit(1)
	}
	binDir = dir
	code := m.Run()
	if os.Getenv("SKYLARKSTAND_MEASURE") != "" {
		figure.Unbounded("fault-matrix-cells", float64(totals.cells.Load()), "cells")
		figure.AtMost("fault-matrix-doubled-runs", float64(totals.duplicateRuns.Load()), "runs", 0)
		figure.AtMost("fault-matrix-doubled-bills", float64(totals.duplicateBills.Load()), "bills", 0)
		figure.AtMost("fault-matrix-lost-bills", float64(totals.lostBills.Load()), "bills", 0)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// totals are the counts over all cells that the figures report.
var totals struct{ cells, duplicateRuns, duplicateBills, lostBills atomic.Int64 }

// pollTimeout is far above the time that any step takes, even on a slow machine; a state
// that is not reached within it will never be reached.
const pollTimeout = 40 * time.Second

var (
	muc = fleet.Location{Zone: "muc-a", Region: "muc"}
	nue = fleet.Location{Zone: "nue-a", Region: "nue"}
)

var (
	deskV2     = core.ModelVersion{Model: "desk", Version: "v2"}
	deskV1     = core.ModelVersion{Model: "desk", Version: "v1"}
	engineArgs = []string{"--slots", "2", "--first", "250ms", "--pace", "10ms", "--words", fmt.Sprint(answerWords)}
)

// engineIDs are the ids of all engines that a cell may start.
var engineIDs = []string{"desk-1", "desk-2", "desk-3", "desk-4", "new-1", "new-2", "new-3"}

// answerWords is the number of words in a complete answer.
const answerWords = 60

// fixture is a fleet with the requests that were sent to it and their replies.
type fixture struct {
	t  *testing.T
	fl *fleet.Fleet
	// entry serves the request that the fault strikes; other is the second entry.
	entry, other *fleet.Process
	// agent is the id of the upstream that serves the request, once a step has found it.
	agent string

	mu       sync.Mutex
	requests []*request
	stopped  map[string]bool // entries that were killed or have ended as planned
	sequence int
}

// request is one request with its outcome.
type request struct {
	id, tag, key string
	entry        string
	reply        *fleet.Reply
	err          error
	done         chan struct{}
}

// newFixture starts the store, two entries, two engines of the stable version, one of
// the new version, and two instances of a plain service.
func newFixture(t *testing.T, name string) *fixture {
	t.Helper()
	totals.cells.Add(1)
	dir, err := os.MkdirTemp("", "cell")
	assert.NilError(t, err)
	fl, cleanup, err := fleet.New(binDir, dir)
	assert.NilError(t, err)
	wo := &fixture{t: t, fl: fl, stopped: map[string]bool{}}
	t.Cleanup(func() {
		cleanup()
		if t.Failed() {
			t.Logf("%s: logs are in %s", name, dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	fl.UseRelays = true
	fl.AgentSettings = map[string]any{"slots": 2, "queue": 8}
	assert.NilError(t, fl.StartPlatform(map[string]float64{"desk@v1": 0.8, "desk@v2": 0.8}))
	assert.NilError(t, fl.StartEngine("desk-1", deskV1, muc, engineArgs...))
	assert.NilError(t, fl.StartEngine("desk-2", deskV1, muc, engineArgs...))
	assert.NilError(t, fl.StartEngine("new-1", deskV2, muc, engineArgs...))
	assert.NilError(t, fl.StartService("orders-1", "subsidy", muc, "--takes", "400ms"))
	assert.NilError(t, fl.StartService("orders-2", "subsidy", muc, "--takes", "400ms"))
	wo.entry, err = fl.StartEntry("entry-1", muc, map[string]any{"ledger-pace": "1s"})
	assert.NilError(t, err)
	wo.other, err = fl.StartEntry("entry-2", nue, map[string]any{"ledger-pace": "1s"})
	assert.NilError(t, err)
	out, err := wo.apply("first.jsonc", 0)
	assert.NilError(t, err, out)
	wo.ready()
	return wo
}

// latestBase makes apply review a document against the generation that is in force.
const latestBase = -1

// apply applies a document of testdata, as reviewed against a generation.
func (wo *fixture) apply(name string, base int) (string, error) {
	args := []string{"apply", filepath.Join("testdata", name), "--store", wo.fl.StoreURL, "--why", "matrix", "--who", "matrix"}
	if base != latestBase {
		args = append(args, "--base", strconv.Itoa(base))
	}
	return wo.fl.Command(args...)
}

// ready waits until a model and a service answer through each entry.
func (wo *fixture) ready() {
	wo.t.Helper()
	for _, en := range []*fleet.Process{wo.entry, wo.other} {
		wo.poll("upstreams ready through "+en.Name, func() bool {
			chat := wo.chat(en, "#words=1 ", false)
			call := wo.call(en, fmt.Sprintf("ready-%s-%d", en.Name, time.Now().UnixNano()))
			<-chat.done
			<-call.done
			return chat.err == nil && chat.reply.Status == 200 && call.err == nil && call.reply.Status == 200
		})
	}
}

func (wo *fixture) poll(what string, fn func() bool) {
	wo.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	assert.NilError(wo.t, fleet.Poll(ctx, what, func() (bool, error) { return fn(), nil }))
}

func (wo *fixture) newRequest(en *fleet.Process) *request {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.sequence++
	as := &request{id: fmt.Sprintf("request-%d", wo.sequence), tag: fmt.Sprintf("t%d", wo.sequence), entry: en.Name, done: make(chan struct{})}
	wo.requests = append(wo.requests, as)
	return as
}

// chat requests a completion of the model desk in the background.
func (wo *fixture) chat(en *fleet.Process, extra string, stream bool) *request {
	as := wo.newRequest(en)
	go func() {
		defer close(as.done)
		as.reply, as.err = fleet.Chat(en.URL, "schools-key", "desk", extra+"#tag="+as.tag+" ", stream, map[string]string{"X-Request-Id": as.id})
	}()
	return as
}

// crash sends the request that crashes engines, in the background. Its body is always
// the same, as of a caller that sends the request again.
func (wo *fixture) crash(en *fleet.Process) *request {
	as := wo.newRequest(en)
	as.tag = "crash"
	go func() {
		defer close(as.done)
		as.reply, as.err = fleet.Chat(en.URL, "schools-key", "desk", "#crash", true, map[string]string{"X-Request-Id": as.id})
	}()
	return as
}

// call calls the at-most-once operation with an idempotency key, in the background.
func (wo *fixture) call(en *fleet.Process, key string) *request {
	as := wo.newRequest(en)
	as.key = key
	go func() {
		defer close(as.done)
		as.reply, as.err = fleet.Post(en.URL+"/v1/services/subsidy/claim", "schools-key", []byte(`{"lamps":120}`),
			map[string]string{"Idempotency-Key": key, "X-Request-Id": as.id})
	}()
	return as
}

type engineRun struct {
	Attempt, Tag string
	Tokens       int
	Whole        bool
}

type serviceRun struct{ Operation, Key, Attempt string }

func journal[T any](wo *fixture, name string) []T {
	var runs []T
	if wo.fl.Process(name) == nil {
		return nil
	}
	_ = fleet.GetJSON(wo.fl.Process(name).URL+"/journal", &runs)
	return runs
}

// awaitStart waits until an engine or a service has started the request, and records
// the upstream's id in wo.agent.
func (wo *fixture) awaitStart(as *request) {
	wo.t.Helper()
	wo.poll("an upstream starts "+as.id, func() bool {
		for _, id := range engineIDs {
			for _, ru := range journal[engineRun](wo, id+"-engine") {
				if ru.Tag == as.tag {
					wo.agent = id
					return true
				}
			}
		}
		for _, id := range []string{"orders-1", "orders-2"} {
			for _, ru := range journal[serviceRun](wo, id+"-service") {
				if as.key != "" && ru.Key == as.key {
					wo.agent = id
					return true
				}
			}
		}
		return false
	})
}

// upstream returns the engine or service beside the agent in use.
func (wo *fixture) upstream() *fleet.Process {
	if strings.HasPrefix(wo.agent, "orders") {
		return wo.fl.Process(wo.agent + "-service")
	}
	return wo.fl.Process(wo.agent + "-engine")
}

// bills counts the bills of each request in the ledger, and reports whether the
// command succeeded.
func (wo *fixture) bills() (map[string]int, bool) {
	out, err := wo.fl.Command("bill", "--store", wo.fl.StoreURL, "--list")
	bills := map[string]int{}
	for line := range strings.Lines(out) {
		var bi ledger.Bill
		if strings.HasPrefix(line, "{") && json.Unmarshal([]byte(line), &bi) == nil {
			bills[string(bi.Request)]++
		}
	}
	return bills, err == nil
}
