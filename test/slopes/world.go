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

var (
	place = fleet.Place{Zone: "muc-a", Region: "muc"}
	desk  = core.ModelVersion{Model: "desk", Version: "v1"}
)

// agents are small agents in this process, each with its own listener,
// configuration and executor, as in a process of its own.
type agents struct {
	hosts   []core.Host
	configs []*declaration.InForce
	meter   meter
	cancel  context.CancelFunc
}

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
			Zone: place.Zone, Region: place.Region, Model: desk.Model, Version: desk.Version,
		}
		deps, inf := core.NewDeps(), declaration.NewInForce()
		tbl, _ := claim.New(deps, nil) // No operation here runs at most once.
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
				return fmt.Errorf("%d of %d have generation %d", i, len(infs), gen)
			}
		}
	}
	return nil
}

// listed is a host list that never changes.
type listed []core.Host

// List implements [core.Hosts].
func (li listed) List(context.Context) ([]core.Host, error) { return li, nil }

// startPools runs entries' sides of links in this process.
func startPools(count int, hosts []core.Host) ([]*agent.Pool, []*declaration.InForce, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	var pools []*agent.Pool
	var infs []*declaration.InForce
	for range count {
		inf := declaration.NewInForce()
		po := agent.New(core.NewDeps(), inf, listed(hosts))
		go func() { _ = po.Serve(ctx) }()
		pools, infs = append(pools, po), append(infs, inf)
	}
	return pools, infs, cancel
}

// awaitLinks waits until pools' links with these agents stand.
func (ags *agents) awaitLinks(count int) error {
	err := poll("links", func() (bool, error) { return ags.meter.conns.Load() >= int64(count), nil })
	time.Sleep(flight) // The greetings of the last links.
	return err
}

// flight is what messages over loopback take at most, work included.
const flight = 200 * time.Millisecond

func poll(what string, fn func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return fleet.Poll(ctx, what, fn)
}

// generation returns an encoded configuration with so many workspaces, shaped
// like those of today: each with one key, five models and a cascade.
func generation(num core.Generation, workspaces int) ([]byte, error) {
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

// newFleet starts the platform's stand-ins.
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

// words is a runner whose answers have a number of one-word pieces.
type words struct{ count atomic.Int64 }

// Run implements [core.Runner].
func (wo *words) Run(context.Context, *core.Attempt) (core.Answer, error) {
	return &wordsAnswer{left: int(wo.count.Load())}, nil
}

type wordsAnswer struct{ left int }

// word has the size of one event with one token.
var word = []byte(`data: {"id":"chatcmpl-1","choices":[{"index":0,"delta":{"content":"w1 "}}]}` + "\n\n")

func (wa *wordsAnswer) Next() ([]byte, error) {
	if wa.left == 0 {
		return nil, io.EOF
	}
	wa.left--
	return word, nil
}
func (wa *wordsAnswer) Usage() core.Usage   { return core.Usage{Prompt: 10, Generated: 10} }
func (wa *wordsAnswer) Status() int         { return http.StatusOK }
func (wa *wordsAnswer) ContentType() string { return "text/event-stream" }
func (wa *wordsAnswer) Close()              {}

// ReplayOf tells that no answer is a stored one.
func (wa *wordsAnswer) ReplayOf() core.AttemptID { return "" }
