package feed_test

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/core/feed"
	"skylarkstand/core/fleet"
	"skylarkstand/core/mirror"
	"skylarkstand/core/route"
	"skylarkstand/core/warmup"
)

// world is an entry's replica and the components that it updates.
type world struct {
	mi *mirror.Mirror
	fl *fleet.Fleet
	wu *warmup.Tracker
	fd *feed.Feed
}

// newWorld returns the world of an entry on a platform with the given layout. doubtful
// states whether removals are doubtful.
func newWorld(self core.ProcessID, la feed.Layout, doubtful bool) world {
	wo := world{mi: mirror.New(), fl: fleet.New(), wu: warmup.New(self, warmup.Overshoot(1.5, 5))}
	wo.fd = feed.New(core.NewDeps(), la, feed.Parts{
		InForce: route.NewInForce(), Fleet: wo.fl, Warmup: wo.wu, Regions: map[core.Zone]core.Region{"z": "r"},
		Doubtful: func(time.Time) bool { return doubtful }, Gone: func(core.Host) {},
	})
	wo.mi.Subscribe(wo.fd.Changed)
	return wo
}
