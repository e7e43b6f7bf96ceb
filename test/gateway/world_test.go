// Package gateway_test plays requests through gateways as separate processes,
// before stand-ins of the users' store and upstreams.
package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/standin/kv"
	"skylarkstand/standin/runner"
	"skylarkstand/test/fleet"
)

// bin holds the program, built once.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gateway")
	if err == nil {
		build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "skylarkstand")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
	bin = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// world is a store, upstreams and gateways.
type world struct {
	t     *testing.T
	st    *kv.Store
	fl    *fleet.Fleet
	gws   []*fleet.Process
	desks []*runner.Runner
	lms   []*runner.Runner
	seq   int
	// store is the store's address, addrs those of the upstreams.
	store string
	addrs map[string]string
}

type object = map[string]any

// newWorld starts two upstreams of each of two services and so many gateways.
func newWorld(t *testing.T, gateways int) *world {
	t.Helper()
	fl, cleanup, err := fleet.New(bin, t.TempDir())
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	wo := &world{t: t, st: kv.New(), fl: fl, addrs: map[string]string{}}
	srv := httptest.NewServer(wo.st)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	wo.store = strings.TrimPrefix(srv.URL, "http://")
	wo.configure(1, "key-1")
	for i := range 2 {
		wo.desks = append(wo.desks, wo.upstream(fmt.Sprint("i-desk-", i), "desk", "v1"))
		wo.lms = append(wo.lms, wo.upstream(fmt.Sprint("i-lm-", i), "lm", "v1"))
	}
	for i := range gateways {
		gw, err := fl.StartGateway(fmt.Sprint("gateway-", i), wo.store,
			fleet.Place{Zone: "muc-a", Region: "muc"}, nil)
		assert.NilError(t, err)
		wo.gws = append(wo.gws, gw)
	}
	return wo
}

// upstream starts an upstream and lists it.
func (wo *world) upstream(id, service, version string) *runner.Runner {
	wo.t.Helper()
	ru := runner.New(id, service, version)
	srv := httptest.NewServer(ru)
	wo.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	wo.addrs[id] = strings.TrimPrefix(srv.URL, "http://")
	wo.st.Put("servers/"+id, ru.Line(wo.addrs[id], "muc-a", "ready"))
	return ru
}

// configure writes a configuration with the keys of one workspace.
func (wo *world) configure(version int, keys ...string) {
	rt := func(name, prefix, kind, service string, more object) object {
		out := object{
			"name": name, "host": "a.example", "prefix": prefix, "route_type": kind, "service": service,
			"timeout_ms": 5000, "target_latency_ms": 1000, "gap_target_ms": 500, "priority": 1, "max_attempts": 2,
		}
		for key, val := range more {
			out[key] = val
		}
		return out
	}
	wo.st.Put("op/config", object{
		"version": version,
		"routes": []object{
			rt("lookup", "/lookup/", "safe", "desk", nil),
			rt("claim", "/claim/", "unsafe", "desk", object{"max_attempts": 1}),
			rt("draft", "/draft/", "streaming", "lm", object{"stream_resume": true, "sizes": []string{"small", "large"}}),
			rt("open", "/open/", "safe", "desk", object{"public": true}),
		},
		"services": []object{{"name": "desk", "max_connections": 50}, {"name": "lm", "max_connections": 50}},
		"limits":   object{"max_header_bytes": 8192, "max_body_bytes": 4096, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []object{{"name": "school", "api_keys": keys}},
	})
}

// ask is a request through one gateway.
type ask struct {
	gateway         int
	path, key, body string
	model           string
	header          http.Header
}

// got is its answer.
type got struct {
	status int
	body   string
	header http.Header
	// err is set when the answer was not whole.
	err error
}

// askAlone is ask for goroutines of a test.
func (wo *world) askAlone(as ask) got { return wo.send(as, "alone") }

func (wo *world) ask(as ask) got {
	wo.t.Helper()
	wo.seq++
	return wo.send(as, fmt.Sprint("r", wo.seq))
}

func (wo *world) send(as ask, id string) got {
	if as.key == "" {
		as.key = "key-1"
	}
	rq, err := http.NewRequestWithContext(wo.t.Context(), http.MethodPost, "http://"+wo.gws[as.gateway].Addr+as.path, strings.NewReader(as.body))
	if err != nil {
		return got{err: err}
	}
	rq.Host = "a.example"
	for name, vals := range as.header {
		rq.Header[name] = vals
	}
	rq.Header.Set("X-Skylarkstand-Attempt-Id", id)
	rq.Header.Set("X-Skylarkstand-Key", as.key)
	rq.Header.Set("X-Skylarkstand-Deadline-Ms", "4000")
	if as.model != "" {
		rq.Header.Set("X-Skylarkstand-Model", as.model)
		rq.Header.Set("X-Skylarkstand-Token-Usage", "100,30")
		rq.Header.Set("X-Skylarkstand-Prefix-Hash", "aa:80,bb:20")
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return got{err: err}
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	return got{rs.StatusCode, string(data), rs.Header, err}
}

// runs counts the runs of upstreams.
func runs(rus []*runner.Runner) int {
	sum := 0
	for _, ru := range rus {
		sum += len(ru.Runs())
	}
	return sum
}

// until waits for something that takes a while to spread.
func (wo *world) until(what string, fn func() bool) {
	wo.t.Helper()
	over := time.Now().Add(20 * time.Second)
	for !fn() {
		if time.Now().After(over) {
			wo.t.Fatalf("%s did not come about", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
