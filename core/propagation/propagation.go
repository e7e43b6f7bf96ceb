// Package propagation follows an accepted configuration generation until every listed process
// has it in force, and reports the progress per availability zone.
//
// # Usage
//
//	rep := propagation.Follow(ctx, hosts, gen, wait, func(zo propagation.ZoneReport) { fmt.Println(zo) })
//	if len(rep.Missing) > 0 { … }
package propagation

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkstand/core"
)

// WaitFunc waits until the process at an address has a generation in force and
// returns nil, or an error when the context ends first.
type WaitFunc func(ctx context.Context, addr string, gen core.Generation) error

// ZoneReport is the result for one availability zone.
type ZoneReport struct {
	Zone   core.Zone
	Region core.Region
	// Entries and Agents are the numbers of processes followed in the zone.
	Entries, Agents int
	// Took is the time from the call of Follow until the zone's last process has finished.
	Took time.Duration
	// Missing lists the addresses of processes without the generation when the context
	// ended.
	Missing []string
}

// Report is the result of Follow.
type Report struct {
	Zones   []ZoneReport
	Missing []string
}

const (
	// maxConcurrent bounds the concurrent requests per zone. Each request uses one
	// connection, and 12,000 at once would exceed the capacity of the operator's machine.
	// The limit is per zone so that an unresponsive zone does not block the others.
	maxConcurrent = 64
	// requestTimeout bounds one request. A request that times out is sent again after the
	// requests to the other processes of its zone; otherwise 64 unresponsive processes
	// would block the rest.
	requestTimeout = 2 * time.Second
	retryDelay     = 100 * time.Millisecond
)

// Follow waits for every listed process that has an address and is not leaving, and calls
// done for each zone when its last process has the generation or the context has ended.
func Follow(ctx context.Context, hosts []core.Host, gen core.Generation, wait WaitFunc, done func(ZoneReport)) Report {
	startedAt := time.Now()
	byZone := map[core.Zone][]core.Host{}
	for _, ho := range hosts {
		if ho.Addr != "" && !ho.Leaving {
			byZone[ho.Zone] = append(byZone[ho.Zone], ho)
		}
	}
	var mu sync.Mutex
	var rep Report
	var wg sync.WaitGroup
	for _, members := range byZone {
		wg.Go(func() {
			zo := followZone(ctx, members, gen, wait)
			zo.Took = time.Since(startedAt)
			mu.Lock()
			defer mu.Unlock()
			rep.Zones = append(rep.Zones, zo)
			rep.Missing = append(rep.Missing, zo.Missing...)
			done(zo)
		})
	}
	wg.Wait()
	slices.SortFunc(rep.Zones, func(a, b ZoneReport) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	slices.Sort(rep.Missing)
	return rep
}

func followZone(ctx context.Context, members []core.Host, gen core.Generation, wait WaitFunc) ZoneReport {
	sem := make(chan struct{}, maxConcurrent)
	zo := ZoneReport{Zone: members[0].Zone, Region: members[0].Region}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, ho := range members {
		if ho.Role == core.RoleEntry {
			zo.Entries++
		} else {
			zo.Agents++
		}
		wg.Go(func() {
			if awaitGeneration(ctx, ho.Addr, gen, wait, sem) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			zo.Missing = append(zo.Missing, ho.Addr)
		})
	}
	wg.Wait()
	slices.Sort(zo.Missing)
	return zo
}

// awaitGeneration sends requests to one process until it has the generation, and returns
// false if the context ends first.
func awaitGeneration(ctx context.Context, addr string, gen core.Generation, wait WaitFunc, sem chan struct{}) bool {
	for {
		sem <- struct{}{}
		reqCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		err := wait(reqCtx, addr, gen)
		cancel()
		<-sem
		if err == nil {
			return true
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return false
		}
	}
}
