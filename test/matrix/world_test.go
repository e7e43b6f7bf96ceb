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

// binDir holds the programs that the cells run.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "matrix")
	if err == nil {
		build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "skylarkstand", "skylarkstand/standin")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
	binDir = dir
	code := m.Run()
	if os.Getenv("SKYLARKSTAND_MEASURE") != "" {
		figure.Plain("fault-matrix-cells", float64(seen.cells.Load()), "cells")
		figure.AtMost("fault-matrix-doubled-runs", float64(seen.doubledRuns.Load()), "runs", 0)
		figure.AtMost("fault-matrix-doubled-bills", float64(seen.doubledBills.Load()), "bills", 0)
		figure.AtMost("fault-matrix-lost-bills", float64(seen.lostBills.Load()), "bills", 0)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// seen counts over all cells what the figures tell.
var seen struct{ cells, doubledRuns, doubledBills, lostBills atomic.Int64 }

// waitLimit is far above what any step takes; reaching it means that the step
// never comes, on however slow a machine.
const waitLimit = 40 * time.Second

var (
	muc = fleet.Place{Zone: "muc-a", Region: "muc"}
	nue = fleet.Place{Zone: "nue-a", Region: "nue"}
)

var (
	newest     = core.ModelVersion{Model: "desk", Version: "v2"}
	desk       = core.ModelVersion{Model: "desk", Version: "v1"}
	engineArgs = []string{"--slots", "2", "--first", "250ms", "--pace", "10ms", "--words", fmt.Sprint(words)}
)

// engines are the ids of all engines that a cell may have.
var engines = []string{"desk-1", "desk-2", "desk-3", "desk-4", "new-1", "new-2", "new-3"}

// words is the length of an answer; a whole one has exactly so many.
const words = 60

// world is a fleet with what was asked of it and what came back.
type world struct {
	t  *testing.T
	fl *fleet.Fleet
	// one is the entry in use, two the other one.
	one, two *fleet.Process
	// agent is the upstream in use, once a step has found it.
	agent string

	mu      sync.Mutex
	asked   []*asked
	dead    map[string]bool // entries that were killed
	request int
}

// asked is one request with its end.
type asked struct {
	id, tag, key string
	entry        string
	reply        *fleet.Reply
	err          error
	done         chan struct{}
}

// newWorld starts the store, two entries, two engines of one version and two
// copies of a plain service.
func newWorld(t *testing.T, name string) *world {
	t.Helper()
	seen.cells.Add(1)
	dir, err := os.MkdirTemp("", "cell")
	assert.NilError(t, err)
	fl, cleanup, err := fleet.New(binDir, dir)
	assert.NilError(t, err)
	wo := &world{t: t, fl: fl, dead: map[string]bool{}}
	t.Cleanup(func() {
		cleanup()
		if t.Failed() {
			t.Logf("%s: logs are in %s", name, dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	fl.Relayed = true
	fl.AgentSettings = map[string]any{"slots": 2, "queue": 8}
	assert.NilError(t, fl.StartPlatform(map[string]float64{"desk@v1": 0.8, "desk@v2": 0.8}))
	assert.NilError(t, fl.StartEngine("desk-1", desk, muc, engineArgs...))
	assert.NilError(t, fl.StartEngine("desk-2", desk, muc, engineArgs...))
	assert.NilError(t, fl.StartEngine("new-1", newest, muc, engineArgs...))
	assert.NilError(t, fl.StartService("orders-1", "subsidy", muc, "--takes", "400ms"))
	assert.NilError(t, fl.StartService("orders-2", "subsidy", muc, "--takes", "400ms"))
	wo.one, err = fl.StartEntry("entry-1", muc, map[string]any{"ledger-pace": "1s"})
	assert.NilError(t, err)
	wo.two, err = fl.StartEntry("entry-2", nue, map[string]any{"ledger-pace": "1s"})
	assert.NilError(t, err)
	out, err := wo.apply("first.jsonc", 0)
	assert.NilError(t, err, out)
	wo.ready()
	return wo
}

// newestBase reviews a document anew, against whatever is in force.
const newestBase = -1

// apply puts a document of testdata in force, as reviewed against a generation.
func (wo *world) apply(name string, base int) (string, error) {
	args := []string{"apply", filepath.Join("testdata", name), "--store", wo.fl.StoreURL, "--why", "matrix", "--who", "matrix"}
	if base != newestBase {
		args = append(args, "--base", strconv.Itoa(base))
	}
	return wo.fl.Command(args...)
}

// ready waits until each upstream answers through each entry.
func (wo *world) ready() {
	wo.t.Helper()
	for _, en := range []*fleet.Process{wo.one, wo.two} {
		wo.poll("ready", func() bool {
			chat := wo.chat(en, "#words=1 ", false)
			call := wo.call(en, fmt.Sprintf("ready-%s-%d", en.Name, time.Now().UnixNano()))
			<-chat.done
			<-call.done
			return chat.err == nil && chat.reply.Status == 200 && call.err == nil && call.reply.Status == 200
		})
	}
}

func (wo *world) poll(what string, fn func() bool) {
	wo.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	assert.NilError(wo.t, fleet.Poll(ctx, what, func() (bool, error) { return fn(), nil }))
}

func (wo *world) newAsked(en *fleet.Process) *asked {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.request++
	as := &asked{id: fmt.Sprintf("request-%d", wo.request), tag: fmt.Sprintf("t%d", wo.request), entry: en.Name, done: make(chan struct{})}
	wo.asked = append(wo.asked, as)
	return as
}

// chat asks the desk in the background.
func (wo *world) chat(en *fleet.Process, extra string, stream bool) *asked {
	as := wo.newAsked(en)
	go func() {
		defer close(as.done)
		as.reply, as.err = fleet.Chat(en.URL, "schools-key", "desk", extra+"#tag="+as.tag+" ", stream, map[string]string{"X-Request-Id": as.id})
	}()
	return as
}

// crash sends the request that crashes engines. Its body is always the same:
// its caller sends it again.
func (wo *world) crash(en *fleet.Process) *asked {
	as := wo.newAsked(en)
	as.tag = "crash"
	go func() {
		defer close(as.done)
		as.reply, as.err = fleet.Chat(en.URL, "schools-key", "desk", "#crash", true, map[string]string{"X-Request-Id": as.id})
	}()
	return as
}

// call books with an idempotency key in the background.
func (wo *world) call(en *fleet.Process, key string) *asked {
	as := wo.newAsked(en)
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

func journal[T any](wo *world, name string) []T {
	var runs []T
	if wo.fl.Process(name) == nil {
		return nil
	}
	_ = fleet.GetJSON(wo.fl.Process(name).URL+"/journal", &runs)
	return runs
}

// find waits until some engine or service has begun the request, and notes
// whose upstream it is.
func (wo *world) find(as *asked) {
	wo.t.Helper()
	wo.poll("the upstream begins "+as.id, func() bool {
		for _, id := range engines {
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

// upstream returns the stand-in beside the agent in use.
func (wo *world) upstream() *fleet.Process {
	if strings.HasPrefix(wo.agent, "orders") {
		return wo.fl.Process(wo.agent + "-service")
	}
	return wo.fl.Process(wo.agent + "-engine")
}

// bills reads the ledger.
func (wo *world) bills() (map[string]int, bool) {
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
