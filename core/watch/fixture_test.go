package watch_test

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/fleet"
	"skylarkstand/core/replica"
	"skylarkstand/core/route"
	"skylarkstand/core/warmup"
	"skylarkstand/core/watch"
)

// fixture is an entry's replica and the components that it updates.
type fixture struct {
	mi *replica.Replica
	fl *fleet.Fleet
	wu *warmup.Tracker
	fd *watch.Handler
}

// newFixture returns the fixture of an entry on a platform with the given layout. doubtful
// states whether removals are doubtful.
func newFixture(self core.ProcessID, la watch.Layout, doubtful bool) fixture {
	wo := fixture{mi: replica.New(), fl: fleet.New(), wu: warmup.New(self, warmup.Overshoot(1.5, 5))}
	wo.fd = watch.New(core.NewDeps(), la, watch.Targets{
		InForce: route.NewInForce(), Fleet: wo.fl, Warmup: wo.wu, Regions: map[core.Zone]core.Region{"z": "r"},
		Doubtful: func(time.Time) bool { return doubtful }, OnRemoved: func(core.Host) {},
	})
	wo.mi.Subscribe(wo.fd.HandleChanges)
	return wo
}
