package propagation_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/propagation"
)

// One zone is unreachable during the propagation of a change. Guards against reporting success,
// and against waiting without end: the operator must see the other zones finish at once, and the
// unreachable zone with its missing processes.
func TestUnreachableZoneIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hosts []core.Host
		for i := range 900 {
			role := core.RoleAgent
			if i%100 == 0 {
				role = core.RoleEntry
			}
			hosts = append(hosts, core.Host{Role: role, Addr: fmt.Sprintf("%d:%03d", i%3, i), Zone: core.Zone(fmt.Sprint(i % 3))})
		}
		wait := func(ctx context.Context, addr string, _ core.Generation) error {
			if addr[0] == '2' {
				<-ctx.Done()
				return ctx.Err()
			}
			time.Sleep(time.Second)
			return nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var order []core.Zone
		rep := propagation.Follow(ctx, hosts, 7, wait, func(zo propagation.ZoneReport) { order = append(order, zo.Zone) })
		assert.Equal(t, len(rep.Zones), 3)
		assert.Equal(t, len(rep.Missing), 300)
		assert.Equal(t, rep.Zones[0].Entries+rep.Zones[0].Agents, 300)
		assert.Equal(t, order[2], core.Zone("2"))
		assert.Equal(t, rep.Zones[2].Took, time.Minute)
	})
}
