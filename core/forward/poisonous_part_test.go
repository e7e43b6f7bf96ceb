package forward_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The bounds on requests with a poisonous part: how many of them may reach upstreams later than noticeTime
// after the given crash, and the least share of the innocent requests with the same key or first part that
// are answered afterwards.
const (
	noticedCrash    = 5
	minServedShare  = 0.97
	poisonFrom      = 4 * time.Second
	poisonUntil     = 27 * time.Second
	partsRunTime    = 40 * time.Second
	poisonInterval  = time.Second / 7
	innocentInteval = 150 * time.Millisecond
)

// latePartArrivals counts the requests with a poisonous part that reached upstreams too late.
func (po *crashPool) latePartArrivals() int {
	if len(po.crashes) < noticedCrash {
		return 0
	}
	slices.SortFunc(po.crashes, time.Time.Compare)
	late := 0
	for _, at := range po.poisoned {
		if at.Sub(po.crashes[noticedCrash-1]) > noticeTime {
			late++
		}
	}
	return late
}

// newPartsPool returns a pool whose upstreams are back two seconds after a crash.
func newPartsPool(t *testing.T, entries int) *crashPool {
	t.Helper()
	po := newCrashPool(t, entries, 8)
	po.downTime = 2 * time.Second
	po.endings = []behavior{
		unframed(answers(http.StatusOK, "")), unframed(answers(http.StatusOK, "id: 1\nda")), unframed(answers(http.StatusOK, "id: 1\ndata: a\n\nid")), losesConnection,
	}
	return po
}

// prompts is a load of innocent requests.
func prompts(parts string, interval, after time.Duration) load {
	return load{path: "/draft/x", body: unique, interval: interval, after: after, parts: parts}
}

// poisonous is a load of requests with a poisonous part, no two of them alike.
func poisonous(parts string) load {
	return load{path: "/draft/x", body: unique, interval: poisonInterval, after: poisonFrom, until: poisonUntil, parts: parts}
}

// Guards against requests with one part that crashes upstreams being sent on and on, as no two of them are
// alike, and against refusing the requests that share its other parts.
func TestPoisonousPartIsQuarantined(t *testing.T) {
	for _, sc := range []struct {
		testName string
		entries  int
		loads    []load
		// innocents are the parts of innocent requests of which most are answered afterwards.
		innocents []string
		restarts  time.Duration
	}{
		{"before the last part", 3, []load{poisonous("first,poison"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0},
		{"before another shared part", 3, []load{poisonous("first,poison,sound"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0},
		{"as the first part", 3, []load{poisonous("poison,sound"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0},
		{"first part that was never answered", 3, []load{poisonous("first,poison"), prompts("first,sound", innocentInteval, poisonFrom)}, []string{"first,sound"}, 0},
		{"beside a part that comes alone later", 3, []load{
			poisonous("first,beside,poison"), prompts("first,sound", innocentInteval, 0), prompts("first,beside", time.Second, 15*time.Second),
		}, []string{"first,sound", "first,beside"}, 0},
		{"beside a part that comes alone seldom", 3, []load{
			poisonous("first,beside,poison"), prompts("first,sound", innocentInteval, 0), prompts("first,beside", 2*time.Second, 0),
		}, []string{"first,sound", "first,beside"}, 0},
		{"two of them", 3, []load{poisonous("first,poison"), poisonous("first,poison too"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0},
		{"many innocent parts", 3, []load{
			poisonous("first,poison"), prompts("first,a", innocentInteval, 0), prompts("first,b", innocentInteval, 0), prompts("first,c,d", innocentInteval, 0), prompts("other,e", innocentInteval, 0),
		}, []string{"first,a", "first,b", "first,c,d", "other,e"}, 0},
		{"each time another entry", 360, []load{poisonous("first,poison"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0},
		{"entries that start and know nothing", 4, []load{poisonous("first,poison"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 5 * time.Second},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				po, began := newPartsPool(t, sc.entries), time.Now()
				po.restartInterval = sc.restarts
				po.run(t.Context(), partsRunTime, sc.loads...)
				late, bound := po.latePartArrivals(), maxLateArrivals
				if strings.Contains(sc.testName, "two") {
					bound *= 2
				}
				assert.Check(t, late <= bound, "requests with a part that had crashed five upstreams reached upstreams %d times more; %d crashed in all", late, len(po.crashes))
				for _, parts := range sc.innocents {
					share := po.wholeShare(parts, began.Add(poisonFrom+2*noticeTime), began.Add(partsRunTime))
					assert.Check(t, share >= minServedShare, "%.2f of the innocent requests with %s were answered afterwards", share, parts)
				}
				t.Logf("%d upstreams crashed, %d requests arrived late", len(po.crashes), late)
			})
		})
	}
}
