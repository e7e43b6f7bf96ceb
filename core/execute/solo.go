package execute

import (
	"context"
	"sync"
	"time"

	"skylarkstand/core"
)

// soloGate lets a suspect request run alone: nothing else is in flight, so a crash has one possible
// cause and loses no other request.
type soloGate struct {
	mu    sync.Mutex
	count int
	solo  bool
	// idle is closed when the last attempt exits while a solo attempt waits.
	idle chan struct{}
}

// soloWait limits how long a suspect waits until the upstream is idle. The upstream accepts no new
// work during the wait, so this limits what a suspect costs other requests; they are refused at
// once and their entries try other upstreams.
const soloWait = 2 * time.Second

// enter admits an attempt, or refuses it while a solo attempt waits or runs.
func (ga *soloGate) enter(ctx context.Context, ho core.Host, solo bool) *core.Failure {
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
	idle := make(chan struct{})
	ga.idle = idle
	ga.mu.Unlock()
	limit := time.NewTimer(soloWait)
	defer limit.Stop()
	select {
	case <-idle:
		return nil
	case <-limit.C:
	case <-ctx.Done():
	}
	return ga.withdraw(idle, ho)
}

// withdraw ends the wait of a solo attempt, unless the upstream has become idle in the meantime.
func (ga *soloGate) withdraw(idle chan struct{}, ho core.Host) *core.Failure {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	select {
	case <-idle:
		return nil
	default:
	}
	ga.solo, ga.idle = false, nil
	return core.Refuse(core.CodeOverloaded, soloWait, "upstream %s did not become free for a request that must run alone", ho.ID)
}

func (ga *soloGate) exit(solo bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.count--
	if solo {
		ga.solo = false
	}
	if ga.count == 0 && ga.idle != nil {
		ga.count++ // Reserved for the solo attempt that waited.
		close(ga.idle)
		ga.idle = nil
	}
}
