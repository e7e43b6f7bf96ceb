// Package route holds the routing configuration: which host and path prefix lead to which service,
// what may be retried there, and which keys belong to which workspace.
//
// A [Table] is immutable. [InForce] holds the table in force and adopts only newer ones, in
// whatever order they arrive: a process that receives a configuration late, twice or from a sibling
// with an outdated one never returns to an older one.
//
// # Usage
//
//	tb, err := route.New(doc)
//	inf.Adopt(tb)
//	rt := inf.Current().Find(host, path)
//	ws, ok := inf.Current().Workspace(key)
package route

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/warmup"
)

// Version numbers the routing configurations. It grows, but not always by one.
type Version uint64

// Document is a configuration as written.
type Document struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
	// RequiresKey is set if the document has a list of workspaces, even an empty one: requests need the key of one
	// of them then, except on public routes.
	RequiresKey bool
}

// Route maps the requests of a host below a path prefix to services.
type Route struct {
	ID     string
	Host   string
	Prefix string
	// Stream is set when responses are event streams.
	Stream bool
	Retry  core.RetrySafety
	// Timeout bounds the time until a caller has its complete response; TargetLatency is the target
	// time of a response, or of a stream's first event.
	Timeout, TargetLatency time.Duration
	// MaxEventGap is the target for the longest pause between two events of a stream.
	MaxEventGap time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	// Splits are the services among which the requests are divided, by weight.
	Splits []Split
	// MaxAttempts bounds the number of upstreams that one request runs on.
	MaxAttempts int
	// Public is set when no key is required.
	Public bool
	// Cascade lists the models to choose from, smallest first.
	Cascade []core.ModelID
	// Regions are those in which the requests may be served.
	Regions core.Regions
}

// Split is one service's weight on a route.
type Split struct {
	Service core.ServiceID
	Weight  int
}

// Service is a pool of upstreams.
type Service struct {
	ID core.ServiceID
	// targetLatency is the least TargetLatency of the routes that lead here, 0 without any, and
	// minPriority their least Priority, which is the most urgent one.
	targetLatency time.Duration
	minPriority   int
	// hasCascade is set when a route that leads here has a Cascade.
	hasCascade bool
	// HealthPath is the path of the upstreams' health check; empty if there is none.
	HealthPath string
	// MaxConnections bounds the connections to one upstream, of all entries together.
	MaxConnections int
	// Warmup is the load that an upstream can take while it is cold.
	Warmup warmup.ColdLimit
}

// TargetLatency returns the least target latency of the routes that lead to the service; 0 is none.
func (sv *Service) TargetLatency() time.Duration { return sv.targetLatency }

// MinPriority returns the least Priority of the routes to the service, which is the most urgent one.
func (sv *Service) MinPriority() int { return sv.minPriority }

// addRoute updates the service's values with a route that leads to it.
func (sv *Service) addRoute(rt *Route) {
	if rt.TargetLatency > 0 && (sv.targetLatency == 0 || rt.TargetLatency < sv.targetLatency) {
		sv.targetLatency = rt.TargetLatency
	}
	sv.minPriority = min(sv.minPriority, rt.Priority)
	sv.hasCascade = sv.hasCascade || len(rt.Cascade) > 0
}

// Workspace is a customer with its keys.
type Workspace struct {
	ID   core.WorkspaceID
	Keys []core.APIKey
	// Priority overrides the route's Priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are those in which the workspace's requests may be served.
	Regions core.Regions
}

// Limits bound the size of a caller's requests and the time its connection may be idle. Zero is no
// bound.
type Limits struct {
	HeaderBytes, BodyBytes int
	// Idle is how long a keep-alive connection may stay unused.
	Idle time.Duration
}

// Table is a configuration prepared for lookups.
type Table struct {
	Version     Version
	Limits      Limits
	hosts       map[string][]*Route
	services    map[core.ServiceID]*Service
	keys        map[core.APIKey]*Workspace
	requiresKey bool
}

// New returns the table of a document, or an error if the document is invalid.
func New(doc Document) (*Table, error) {
	tb := &Table{
		Version: doc.Version, Limits: doc.Limits, hosts: map[string][]*Route{},
		services: map[core.ServiceID]*Service{}, keys: map[core.APIKey]*Workspace{},
		requiresKey: doc.RequiresKey || len(doc.Workspaces) > 0,
	}
	for _, sv := range doc.Services {
		sv.targetLatency, sv.minPriority = 0, math.MaxInt
		tb.services[sv.ID] = &sv
	}
	for i := range doc.Workspaces {
		for _, key := range doc.Workspaces[i].Keys {
			if key != "" { // A request without a key would have it.
				tb.keys[key] = &doc.Workspaces[i]
			}
		}
	}
	for i := range doc.Routes {
		rt := &doc.Routes[i]
		if err := tb.validateRoute(rt); err != nil {
			return nil, err
		}
		tb.hosts[rt.Host] = append(tb.hosts[rt.Host], rt)
		for _, sp := range rt.Splits {
			tb.services[sp.Service].addRoute(rt)
		}
	}
	for _, rts := range tb.hosts {
		slices.SortStableFunc(rts, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return tb, nil
}

func (tb *Table) validateRoute(rt *Route) error {
	if !strings.HasPrefix(rt.Prefix, "/") || !strings.HasSuffix(rt.Prefix, "/") {
		return eris.Errorf("route %q: prefix %q must begin and end with a slash", rt.ID, rt.Prefix)
	}
	if len(rt.Splits) == 0 {
		return eris.Errorf("route %q leads to no service", rt.ID)
	}
	for _, sp := range rt.Splits {
		if tb.services[sp.Service] == nil {
			return eris.Errorf("route %q leads to service %q, which is not listed", rt.ID, sp.Service)
		}
		if sp.Weight < 0 {
			return eris.Errorf("route %q gives service %q a weight below 0", rt.ID, sp.Service)
		}
	}
	return nil
}

// Find returns the matching route with the longest prefix, or nil.
func (tb *Table) Find(host, path string) *Route {
	for _, rt := range tb.hosts[host] {
		if strings.HasPrefix(path, rt.Prefix) {
			return rt
		}
	}
	return nil
}

// EngineServices lists the services of the routes that have a Cascade.
func (tb *Table) EngineServices() []core.ServiceID {
	var out []core.ServiceID
	for id, sv := range tb.services {
		if sv.hasCascade {
			out = append(out, id)
		}
	}
	return out
}

// Service returns a service, or nil.
func (tb *Table) Service(id core.ServiceID) *Service { return tb.services[id] }

// Workspace returns the workspace that holds a key, or nil.
func (tb *Table) Workspace(key core.APIKey) *Workspace { return tb.keys[key] }

// RequiresKey reports whether keys are required at all: a configuration without a list of workspaces admits
// every caller. One whose list is empty, or whose workspaces have no key, admits nobody.
func (tb *Table) RequiresKey() bool { return tb.requiresKey }

// ChooseService returns the service for a random number from 0 to 1, or "" if none has a weight.
func (rt *Route) ChooseService(draw float64) core.ServiceID {
	sum := 0.0 // The sum of weights may be too large for an int.
	for _, sp := range rt.Splits {
		sum += float64(sp.Weight)
	}
	left, last := draw*sum, core.ServiceID("")
	for _, sp := range rt.Splits {
		if sp.Weight <= 0 {
			continue
		}
		if left < float64(sp.Weight) {
			return sp.Service
		}
		left, last = left-float64(sp.Weight), sp.Service
	}
	return last
}

// InForce holds the table in force.
type InForce struct {
	cur    atomic.Pointer[Table]
	loaded chan struct{}
}

// NewInForce returns an InForce without a table.
func NewInForce() *InForce { return &InForce{loaded: make(chan struct{})} }

// Loaded returns a channel that is closed once there is a table.
func (inf *InForce) Loaded() <-chan struct{} { return inf.loaded }

// Current returns the table in force, or nil before the first.
func (inf *InForce) Current() *Table { return inf.cur.Load() }

// Adopt replaces the table in force by a newer one, and reports whether it did.
func (inf *InForce) Adopt(tb *Table) bool {
	for {
		old := inf.cur.Load()
		if old != nil && old.Version >= tb.Version {
			return false
		}
		if inf.cur.CompareAndSwap(old, tb) {
			if old == nil {
				close(inf.loaded)
			}
			return true
		}
	}
}
