// Package route holds the configuration of exchanges: which host and path
// prefix leads to which service, what may be repeated there, and which keys
// belong to which workspace.
//
// A [Table] is immutable. [InForce] holds the one that requests are decided by
// and takes only newer ones, in whatever order they arrive: a process that
// hears of a configuration late, twice or from a peer that is behind never
// goes back to an older one.
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

// Version numbers the configurations of exchanges. It grows in uneven steps.
type Version uint64

// Document is a configuration as it was written.
type Document struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route leads the requests of a host below a path prefix to services.
type Route struct {
	ID     string
	Host   string
	Prefix string
	// Stream says that answers are rows of events.
	Stream bool
	Repeat core.Repeat
	// Timeout is the longest time that a caller is kept waiting for its whole
	// answer; Aim the time to a good answer, or to a stream's first event.
	Timeout, Aim time.Duration
	// Gap is the longest pause between two events of a good stream.
	Gap time.Duration
	// Priority is the rank; 0 goes first.
	Priority int
	// Splits are the services that share the requests, by weight.
	Splits []Split
	// MaxAttempts bounds the upstreams that one request runs on.
	MaxAttempts int
	// Public says that no key is asked for.
	Public bool
	// Cascade holds the models to choose from, smallest first.
	Cascade []core.ModelID
	// Regions are those that its requests may be served in.
	Regions core.Regions
}

// Split is one service's share of a route.
type Split struct {
	Service core.ServiceID
	Weight  int
}

// Service is a pool of upstreams.
type Service struct {
	ID core.ServiceID
	// aim is the tightest of the routes that lead here, 0 without any, and first
	// the priority of those that go first.
	aim   time.Duration
	first int
	// cascades says that a route that leads here has models to choose from.
	cascades bool
	// MaxConnections bounds the connections to one upstream, of all entries.
	MaxConnections int
	// Warmup is what an upstream can take while it is cold.
	Warmup warmup.Bound
}

// Aim returns the tightest aim of the routes that lead to the service; 0 is none.
func (sv *Service) Aim() time.Duration { return sv.aim }

// First returns the priority of the routes to the service that go first.
func (sv *Service) First() int { return sv.first }

// learn notes a route that leads to the service.
func (sv *Service) learn(rt *Route) {
	if rt.Aim > 0 && (sv.aim == 0 || rt.Aim < sv.aim) {
		sv.aim = rt.Aim
	}
	sv.first = min(sv.first, rt.Priority)
	sv.cascades = sv.cascades || len(rt.Cascade) > 0
}

// Workspace is a customer with its keys.
type Workspace struct {
	ID   core.WorkspaceID
	Keys []core.APIKey
	// Priority goes before the route's when Ranked.
	Priority int
	Ranked   bool
	// Regions are those that its requests may be served in.
	Regions core.Regions
}

// Limits bound what a caller may send. Zero is no bound.
type Limits struct {
	HeaderBytes, BodyBytes int
	// Idle is how long a kept connection may stay unused.
	Idle time.Duration
}

// Table is a configuration made ready for lookups.
type Table struct {
	Version  Version
	Limits   Limits
	hosts    map[string][]*Route
	services map[core.ServiceID]*Service
	keys     map[core.APIKey]*Workspace
}

// New returns the table of a document, or what is wrong with it.
func New(doc Document) (*Table, error) {
	tb := &Table{
		Version: doc.Version, Limits: doc.Limits, hosts: map[string][]*Route{},
		services: map[core.ServiceID]*Service{}, keys: map[core.APIKey]*Workspace{},
	}
	for _, sv := range doc.Services {
		sv.aim, sv.first = 0, math.MaxInt
		tb.services[sv.ID] = &sv
	}
	for i := range doc.Workspaces {
		for _, key := range doc.Workspaces[i].Keys {
			tb.keys[key] = &doc.Workspaces[i]
		}
	}
	for i := range doc.Routes {
		rt := &doc.Routes[i]
		if err := tb.check(rt); err != nil {
			return nil, err
		}
		tb.hosts[rt.Host] = append(tb.hosts[rt.Host], rt)
		for _, sp := range rt.Splits {
			tb.services[sp.Service].learn(rt)
		}
	}
	for _, rts := range tb.hosts {
		slices.SortStableFunc(rts, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return tb, nil
}

func (tb *Table) check(rt *Route) error {
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

// Find returns the route of a request, the one with the longest prefix, or nil.
func (tb *Table) Find(host, path string) *Route {
	for _, rt := range tb.hosts[host] {
		if strings.HasPrefix(path, rt.Prefix) {
			return rt
		}
	}
	return nil
}

// Engines lists the services that routes with a choice of models lead to.
func (tb *Table) Engines() []core.ServiceID {
	var out []core.ServiceID
	for id, sv := range tb.services {
		if sv.cascades {
			out = append(out, id)
		}
	}
	return out
}

// Service returns a service, or nil.
func (tb *Table) Service(id core.ServiceID) *Service { return tb.services[id] }

// Workspace returns the workspace that holds a key, or nil.
func (tb *Table) Workspace(key core.APIKey) *Workspace { return tb.keys[key] }

// Keyed reports whether keys are asked for at all: a configuration without
// workspaces lets everybody in.
func (tb *Table) Keyed() bool { return len(tb.keys) > 0 }

// Choose returns the service for a draw from 0 to 1.
func (rt *Route) Choose(draw float64) core.ServiceID {
	sum := 0
	for _, sp := range rt.Splits {
		sum += sp.Weight
	}
	left := draw * float64(sum)
	for _, sp := range rt.Splits {
		if left < float64(sp.Weight) {
			return sp.Service
		}
		left -= float64(sp.Weight)
	}
	return rt.Splits[0].Service
}

// InForce holds the table that requests are decided by.
type InForce struct {
	cur   atomic.Pointer[Table]
	known chan struct{}
}

// NewInForce returns an InForce without a table.
func NewInForce() *InForce { return &InForce{known: make(chan struct{})} }

// Known is closed once there is a table.
func (inf *InForce) Known() <-chan struct{} { return inf.known }

// Current returns the table in force, or nil before the first.
func (inf *InForce) Current() *Table { return inf.cur.Load() }

// Adopt puts a table in force unless the one in force is as new, and reports
// whether it did.
func (inf *InForce) Adopt(tb *Table) bool {
	for {
		old := inf.cur.Load()
		if old != nil && old.Version >= tb.Version {
			return false
		}
		if inf.cur.CompareAndSwap(old, tb) {
			if old == nil {
				close(inf.known)
			}
			return true
		}
	}
}
