package execute

import (
	"context"
	"sync"
	"time"

	"skylarkstand/core"
)

// gate lets one attempt run alone: a suspect runs with nothing else in flight,
// so that a crash has one possible cause and takes no other request along.
type gate struct {
	mu    sync.Mutex
	count int
	solo  bool
	// emptied is closed when the last attempt goes, for a solo that waits.
	emptied chan struct{}
}

// soloWait bounds how long a suspect waits for the upstream to empty. Until
// then the upstream takes nothing new, so the bound is what a suspect may cost
// the others; they are refused at once and go elsewhere.
const soloWait = 2 * time.Second

// enter passes an attempt, or refuses it while a solo waits or runs.
func (ga *gate) enter(ctx context.Context, ho core.Host, solo bool) *core.Failure {
	ga.mu.Lock()
	if ga.solo {
		ga.mu.Unlock()
		return core.Refuse(core.CodeOverloaded, soloWait, "upstream %s runs one request alone now", ho.ID)
	}
	if !solo {
		ga.count++
		ga.mu.Unlock()
		return nil
	}
	ga.solo = true
	if ga.count == 0 {
		ga.count++
		ga.mu.Unlock()
		return nil
	}
	emptied := make(chan struct{})
	ga.emptied = emptied
	ga.mu.Unlock()
	limit := time.NewTimer(soloWait)
	defer limit.Stop()
	select {
	case <-emptied:
		return nil
	case <-limit.C:
	case <-ctx.Done():
	}
	return ga.giveUp(emptied, ho)
}

// giveUp takes a waiting solo back, unless its turn has come meanwhile.
func (ga *gate) giveUp(emptied chan struct{}, ho core.Host) *core.Failure {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	select {
	case <-emptied:
		return nil
	default:
	}
	ga.solo, ga.emptied = false, nil
	return core.Refuse(core.CodeOverloaded, soloWait, "upstream %s did not become free for a request that must run alone", ho.ID)
}

func (ga *gate) exit(solo bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.count--
	if solo {
		ga.solo = false
	}
	if ga.count == 0 && ga.emptied != nil {
		ga.count++ // The place of the solo that waited.
		close(ga.emptied)
		ga.emptied = nil
	}
}
