package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/core/declaration"
	"skylarkstand/core/execute"
	"skylarkstand/core/order"
	"skylarkstand/io/agent"
	"skylarkstand/io/entry"
	"skylarkstand/test/fleet"
)

// location is the availability zone and region, and desk the model version, of all processes that
// need only one.
var (
	location = fleet.Location{Zone: "muc-a", Region: "muc"}
	desk     = core.ModelVersion{Model: "desk", Version: "v1"}
)

// agents are small agents in this process, each with its own listener, configuration and executor,
// as if it were a separate process.
type agents struct {
	hosts   []core.Host
	configs []*declaration.InForce
	meter   meter
	cancel  context.CancelFunc
}

// startAgents starts agents that answer with a runner.
func startAgents(count int, ru core.Runner) (*agents, error) {
	ctx, cancel := context.WithCancel(context.Background())
	ags := &agents{cancel: cancel}
	for i := range count {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cancel()
			return nil, err
		}
		ho := core.Host{
			Role: core.RoleAgent, ID: core.UpstreamID(fmt.Sprintf("desk-%d", i)), Addr: li.Addr().String(),
			Zone: location.Zone, Region: location.Region, Model: desk.Model, Version: desk.Version,
		}
		deps, inf := core.NewDeps(), declaration.NewInForce()
		tbl, _ := claim.New(deps, nil) // Needs no store, since no operation here runs at most once.
		ex := execute.New(deps, ho, inf, ru, tbl, execute.Slots(4096), execute.Queue(4096))
		go func() {
			_ = entry.New(deps, ho, inf, ex, order.NewGate(nil, ho.ID)).Serve(ctx, meteredListener{li, &ags.meter})
		}()
		ags.hosts, ags.configs = append(ags.hosts, ho), append(ags.configs, inf)
	}
	return ags, nil
}

// await waits until all agents have a generation in force.
func (ags *agents) await(gen core.Generation) error { return awaitAll(ags.configs, gen) }

// awaitAll waits until all configurations have reached a generation.
func awaitAll(infs []*declaration.InForce, gen core.Generation) error {
	limit := time.After(30 * time.Second)
	for i, inf := range infs {
		for {
			changed := inf.Changed()
			if inf.Number() >= gen {
				break
			}
			select {
			case <-changed:
			case <-limit:
				return fmt.Errorf("process %d of %d does not have generation %d in force after 30 s", i+1, len(infs), gen)
			}
		}
	}
	return nil
}

// staticHosts is a host list that never changes.
type staticHosts []core.Host

// List implements [core.Hosts].
func (sh staticHosts) List(context.Context) ([]core.Host, error) { return sh, nil }

// startPools runs the entry side of links in this process, one pool per entry.
func startPools(count int, hosts []core.Host) ([]*agent.Pool, []*declaration.InForce, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	var pools []*agent.Pool
	var infs []*declaration.InForce
	for range count {
		inf := declaration.NewInForce()
		po := agent.New(core.NewDeps(), inf, staticHosts(hosts))
		go func() { _ = po.Serve(ctx) }()
		pools, infs = append(pools, po), append(infs, inf)
	}
	return pools, infs, cancel
}

// awaitLinks waits until a number of links to these agents are established.
func (ags *agents) awaitLinks(count int) error {
	err := poll("links", func() (bool, error) { return ags.meter.conns.Load() >= int64(count), nil })
	time.Sleep(deliveryTime) // For the Hello frames of the last links.
	return err
}

// deliveryTime is the longest time that a message over loopback takes, with its processing.
const deliveryTime = 200 * time.Millisecond

// poll calls fn until it returns true, for 20 s at most.
func poll(what string, fn func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return fleet.Poll(ctx, what, fn)
}

// encodeGeneration returns an encoded configuration with a number of workspaces, shaped like the
// current ones: each with one key, five models and a cascade.
func encodeGeneration(num core.Generation, workspaces int) ([]byte, error) {
	gen := &declaration.Generation{Number: num}
	gen.Audit = declaration.Audit{Who: "slopes", Why: "measure", When: time.Unix(int64(num), 0).UTC(), Base: num - 1}
	doc := &gen.Document
	var allow []declaration.Allow
	for i := range 11 {
		mo := declaration.Model{ID: core.ModelID(fmt.Sprintf("model-%d", i)), Stable: "v1", Versions: []declaration.Version{
			{ID: "v1", Quality: 0.8, PromptPrice: 10, TokenPrice: 40}, {ID: "v2", Quality: 0.8, PromptPrice: 10, TokenPrice: 40},
		}}
		if i == 0 {
			mo.ID = desk.Model
		}
		doc.Models = append(doc.Models, mo)
		if i < 5 {
			allow = append(allow, declaration.Allow{Model: mo.ID, Versions: []core.VersionID{"v1", "v2"}})
		}
	}
	doc.Cascades = []declaration.Cascade{{ID: "quick", Stages: []core.ModelID{desk.Model, "model-1"}}}
	for i := range workspaces {
		id := core.WorkspaceID(fmt.Sprintf("workspace-%04d", i))
		doc.Workspaces = append(doc.Workspaces, declaration.Workspace{
			ID: id, KeyHashes: []string{declaration.HashKey(string(id))}, Allow: allow, Cascades: []core.CascadeID{"quick"},
			Share: 1, Quality: 0.8, LatencyPrice: 5, Limit: 1000,
		})
	}
	return gen.Encode()
}

// newFleet starts a fleet with the platform's stand-ins.
func newFleet(name string) (*fleet.Fleet, func(), error) {
	fl, cleanup, err := fleet.New("bin", filepath.Join("out", "slopes", name))
	if err != nil {
		return nil, nil, err
	}
	if err := fl.StartPlatform(nil); err != nil {
		cleanup()
		return nil, nil, err
	}
	return fl, cleanup, nil
}

// publishHosts replaces the fleet's host list.
func publishHosts(fl *fleet.Fleet, hosts []core.Host) error {
	raw, err := json.Marshal(hosts)
	if err != nil {
		return err
	}
	rq, err := http.NewRequest(http.MethodPut, fl.PlatformURL+"/v1/hosts", strings.NewReader(string(raw)))
	if err != nil {
		return err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return err
	}
	return rs.Body.Close()
}

// tokenRunner is a runner whose answers consist of count events with one token each.
type tokenRunner struct{ count atomic.Int64 }

// Run implements [core.Runner].
func (tr *tokenRunner) Run(context.Context, *core.Attempt) (core.Answer, error) {
	return &tokenAnswer{remaining: int(tr.count.Load())}, nil
}

type tokenAnswer struct{ remaining int }

// tokenEvent has the size of an event with one token.
var tokenEvent = []byte(`data: {"id":"chatcmpl-1","choices":[{"index":0,"delta":{"content":"w1 "}}]}` + "\n\n")

func (ta *tokenAnswer) Next() ([]byte, error) {
	if ta.remaining == 0 {
		return nil, io.EOF
	}
	ta.remaining--
	return tokenEvent, nil
}
func (ta *tokenAnswer) Usage() core.Usage   { return core.Usage{Prompt: 10, Generated: 10} }
func (ta *tokenAnswer) Status() int         { return http.StatusOK }
func (ta *tokenAnswer) ContentType() string { return "text/event-stream" }
func (ta *tokenAnswer) Close()              {}

// ReplayOf returns the empty id, since no answer is a stored one.
func (ta *tokenAnswer) ReplayOf() core.AttemptID { return "" }
