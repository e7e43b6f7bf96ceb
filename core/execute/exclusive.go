package execute

import (
	"context"
	"sync"
	"time"

	"skylarkstand/core"
)

// exclusiveGate lets a suspect request run alone: nothing else is in flight, so a crash has one
// possible cause and loses no other request.
type exclusiveGate struct {
	mu        sync.Mutex
	count     int
	exclusive bool
	// idle is closed when the last attempt exits while an exclusive attempt waits.
	idle chan struct{}
}

// exclusiveWait limits how long a suspect waits until the upstream is idle. The upstream accepts no
// new work during the wait, so this limits what a suspect costs other requests; they are refused at
// once and their entries try other upstreams.
const exclusiveWait = 2 * time.Second

// enter admits an attempt, or refuses it while an exclusive attempt waits or runs.
func (ga *exclusiveGate) enter(ctx context.Context, ho core.Host, exclusive bool) *core.Failure {
	ga.mu.Lock()
	if ga.exclusive {
		ga.mu.Unlock()
		return core.Refuse(core.CodeOverloaded, exclusiveWait, "upstream %s runs one request alone now", ho.ID)
	}
	if !exclusive {
		ga.count++
		ga.mu.Unlock()
		return nil
	}
	ga.exclusive = true
	if ga.count == 0 {
		ga.count++
		ga.mu.Unlock()
		return nil
	}
	idle := make(chan struct{})
	ga.idle = idle
	ga.mu.Unlock()
	limit := time.NewTimer(exclusiveWait)
	defer limit.Stop()
	select {
	case <-idle:
		return nil
	case <-limit.C:
	case <-ctx.Done():
	}
	return ga.withdraw(idle, ho)
}

// withdraw ends the wait of an exclusive attempt, unless the upstream has become idle in the meantime.
func (ga *exclusiveGate) withdraw(idle chan struct{}, ho core.Host) *core.Failure {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	select {
	case <-idle:
		return nil
	default:
	}
	ga.exclusive, ga.idle = false, nil
	return core.Refuse(core.CodeOverloaded, exclusiveWait, "upstream %s did not become free for a request that must run alone", ho.ID)
}

func (ga *exclusiveGate) exit(exclusive bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.count--
	if exclusive {
		ga.exclusive = false
	}
	if ga.count == 0 && ga.idle != nil {
		ga.count++ // Reserved for the exclusive attempt that waited.
		close(ga.idle)
		ga.idle = nil
	}
}
