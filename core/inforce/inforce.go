// Package inforce follows an accepted generation until every listed process
// has it in force, availability zone by availability zone.
//
// # Usage
//
//	rep := inforce.Follow(ctx, hosts, gen, ask, func(zo inforce.Zone) { fmt.Println(zo) })
//	if len(rep.Missing) > 0 { … }
package inforce

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkstand/core"
)

// Ask waits until the process at an address has a generation in force and
// returns nil, or an error when the context ends first.
type Ask func(ctx context.Context, addr string, gen core.Generation) error

// Zone is one availability zone's part.
type Zone struct {
	Zone            core.Zone
	Region          core.Region
	Entries, Agents int
	// Took is from the call of Follow to the last process of the zone.
	Took time.Duration
	// Missing are the addresses without the generation when the time was up.
	Missing []string
}

// Report is what Follow found.
type Report struct {
	Zones   []Zone
	Missing []string
}

const (
	// asking bounds the processes of a zone that are asked at once. Each
	// question is one connection; 12,000 at once would be more than the
	// operator's machine carries. It is by zone, so that a silent zone does not
	// keep the others from being asked.
	asking = 64
	// patience bounds one question. A silent process is asked again after the
	// others of its zone; otherwise 64 silent ones would hide the rest.
	patience = 2 * time.Second
	pause    = 100 * time.Millisecond
)

// Follow asks every process of the list and calls done for each zone when its
// last process has answered or the context has ended.
func Follow(ctx context.Context, hosts []core.Host, gen core.Generation, ask Ask, done func(Zone)) Report {
	began := time.Now()
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
			zo := followZone(ctx, members, gen, ask)
			zo.Took = time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			rep.Zones = append(rep.Zones, zo)
			rep.Missing = append(rep.Missing, zo.Missing...)
			done(zo)
		})
	}
	wg.Wait()
	slices.SortFunc(rep.Zones, func(a, b Zone) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	slices.Sort(rep.Missing)
	return rep
}

func followZone(ctx context.Context, members []core.Host, gen core.Generation, ask Ask) Zone {
	places := make(chan struct{}, asking)
	zo := Zone{Zone: members[0].Zone, Region: members[0].Region}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, ho := range members {
		if ho.Role == core.RoleEntry {
			zo.Entries++
		} else {
			zo.Agents++
		}
		wg.Go(func() {
			if persist(ctx, ho.Addr, gen, ask, places) {
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

// persist asks one process until it has the generation or the context ends.
func persist(ctx context.Context, addr string, gen core.Generation, ask Ask, places chan struct{}) bool {
	for {
		places <- struct{}{}
		actx, cancel := context.WithTimeout(ctx, patience)
		err := ask(actx, addr, gen)
		cancel()
		<-places
		if err == nil {
			return true
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return false
		}
	}
}
