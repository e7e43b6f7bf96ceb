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
	// entry serves the request during which the fault is injected; other is the second entry.
	entry, other *fleet.Process
	// upstreamID is the id of the upstream that serves the request, once a step has found it.
	upstreamID string

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
	fx := &fixture{t: t, fl: fl, stopped: map[string]bool{}}
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
	fx.entry, err = fl.StartEntry("entry-1", muc, map[string]any{"ledger-pace": "1s"})
	assert.NilError(t, err)
	fx.other, err = fl.StartEntry("entry-2", nue, map[string]any{"ledger-pace": "1s"})
	assert.NilError(t, err)
	out, err := fx.apply("first.jsonc", 0)
	assert.NilError(t, err, out)
	fx.ready()
	return fx
}

// latestBase makes apply review a document against the generation that is in force.
const latestBase = -1

// apply applies a document of testdata, as reviewed against a generation.
func (fx *fixture) apply(name string, base int) (string, error) {
	args := []string{"apply", filepath.Join("testdata", name), "--store", fx.fl.StoreURL, "--why", "matrix", "--who", "matrix"}
	if base != latestBase {
		args = append(args, "--base", strconv.Itoa(base))
	}
	return fx.fl.Command(args...)
}

// ready waits until a model and a service answer through each entry.
func (fx *fixture) ready() {
	fx.t.Helper()
	for _, en := range []*fleet.Process{fx.entry, fx.other} {
		fx.poll("upstreams ready through "+en.Name, func() bool {
			chat := fx.chat(en, "#words=1 ", false)
			call := fx.call(en, fmt.Sprintf("ready-%s-%d", en.Name, time.Now().UnixNano()))
			<-chat.done
			<-call.done
			return chat.err == nil && chat.reply.Status == 200 && call.err == nil && call.reply.Status == 200
		})
	}
}

func (fx *fixture) poll(what string, fn func() bool) {
	fx.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	assert.NilError(fx.t, fleet.Poll(ctx, what, func() (bool, error) { return fn(), nil }))
}

func (fx *fixture) newRequest(en *fleet.Process) *request {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.sequence++
	rq := &request{id: fmt.Sprintf("request-%d", fx.sequence), tag: fmt.Sprintf("t%d", fx.sequence), entry: en.Name, done: make(chan struct{})}
	fx.requests = append(fx.requests, rq)
	return rq
}

// chat requests a completion of the model desk in the background.
func (fx *fixture) chat(en *fleet.Process, extra string, stream bool) *request {
	rq := fx.newRequest(en)
	go func() {
		defer close(rq.done)
		rq.reply, rq.err = fleet.Chat(en.URL, "schools-key", "desk", extra+"#tag="+rq.tag+" ", stream, map[string]string{"X-Request-Id": rq.id})
	}()
	return rq
}

// crash sends the request that crashes engines, in the background. Its body is always
// the same, as of a caller that sends the request again.
func (fx *fixture) crash(en *fleet.Process) *request {
	rq := fx.newRequest(en)
	rq.tag = "crash"
	go func() {
		defer close(rq.done)
		rq.reply, rq.err = fleet.Chat(en.URL, "schools-key", "desk", "#crash", true, map[string]string{"X-Request-Id": rq.id})
	}()
	return rq
}

// call calls the at-most-once operation with an idempotency key, in the background.
func (fx *fixture) call(en *fleet.Process, key string) *request {
	rq := fx.newRequest(en)
	rq.key = key
	go func() {
		defer close(rq.done)
		rq.reply, rq.err = fleet.Post(en.URL+"/v1/services/subsidy/claim", "schools-key", []byte(`{"lamps":120}`),
			map[string]string{"Idempotency-Key": key, "X-Request-Id": rq.id})
	}()
	return rq
}

type engineRun struct {
	Attempt, Tag string
	Tokens       int
	Whole        bool
}

type serviceRun struct{ Operation, Key, Attempt string }

func journal[T any](fx *fixture, name string) []T {
	var runs []T
	if fx.fl.Process(name) == nil {
		return nil
	}
	_ = fleet.GetJSON(fx.fl.Process(name).URL+"/journal", &runs)
	return runs
}

// awaitStart waits until an engine or a service has started the request, and records
// the upstream's id in fx.upstreamID.
func (fx *fixture) awaitStart(rq *request) {
	fx.t.Helper()
	fx.poll("an upstream starts "+rq.id, func() bool {
		for _, id := range engineIDs {
			for _, ru := range journal[engineRun](fx, id+"-engine") {
				if ru.Tag == rq.tag {
					fx.upstreamID = id
					return true
				}
			}
		}
		for _, id := range []string{"orders-1", "orders-2"} {
			for _, ru := range journal[serviceRun](fx, id+"-service") {
				if rq.key != "" && ru.Key == rq.key {
					fx.upstreamID = id
					return true
				}
			}
		}
		return false
	})
}

// upstream returns the process of the upstream that serves the request.
func (fx *fixture) upstream() *fleet.Process {
	if strings.HasPrefix(fx.upstreamID, "orders") {
		return fx.fl.Process(fx.upstreamID + "-service")
	}
	return fx.fl.Process(fx.upstreamID + "-engine")
}

// bills counts the bills of each request in the ledger, and reports whether the
// command succeeded.
func (fx *fixture) bills() (map[string]int, bool) {
	out, err := fx.fl.Command("bill", "--store", fx.fl.StoreURL, "--list")
	bills := map[string]int{}
	for line := range strings.Lines(out) {
		var bi ledger.Bill
		if strings.HasPrefix(line, "{") && json.Unmarshal([]byte(line), &bi) == nil {
			bills[string(bi.Request)]++
		}
	}
	return bills, err == nil
}
