package forward_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
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

// latePartArrivals counts the requests with the same poisonous part that reached upstreams too late, and
// returns the largest count.
func (po *crashPool) latePartArrivals() int {
	most := 0
	for part, crashes := range po.partCrashes {
		if len(crashes) < noticedCrash {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		late := 0
		for _, at := range po.partArrivals[part] {
			if at.Sub(crashes[noticedCrash-1]) > noticeTime && (po.repaired.IsZero() || at.Before(po.repaired)) {
				late++
			}
		}
		most = max(most, late)
	}
	return most
}

// newPartsPool returns a pool whose upstreams are back two seconds after a crash.
func newPartsPool(t *testing.T, entries int) *crashPool {
	t.Helper()
	po := newCrashPool(t, entries, 8)
	po.downTime = 2 * time.Second
	po.endings = []behavior{
		unframed(answers(http.StatusOK, "")), unframed(answers(http.StatusOK, "id: 1\nda")), unframed(answers(http.StatusOK, "id: 1\ndata: a\n\nid")),
		unframed(answers(http.StatusOK, "id: 1\ndata: a\n\n")), losesConnection,
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
		silent    bool
	}{
		{"before the last part", 3, []load{poisonous("first,poison"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0, false},
		{"before another shared part", 3, []load{poisonous("first,poison,sound"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0, false},
		{"as the first part", 3, []load{poisonous("poison,sound"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0, false},
		{"first part that was never answered", 3, []load{poisonous("first,poison"), prompts("first,sound", innocentInteval, poisonFrom)}, []string{"first,sound"}, 0, false},
		{"beside a part that comes alone later", 3, []load{
			poisonous("first,beside,poison"), prompts("first,sound", innocentInteval, 0), prompts("first,beside", time.Second, 15*time.Second),
		}, []string{"first,sound", "first,beside"}, 0, false},
		{"beside a part that comes alone seldom", 3, []load{
			poisonous("first,beside,poison"), prompts("first,sound", innocentInteval, 0), prompts("first,beside", 2*time.Second, 0),
		}, []string{"first,sound", "first,beside"}, 0, false},
		{"two of them", 3, []load{poisonous("first,poison"), poisonous("first,poison too"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0, false},
		{"many innocent parts", 3, []load{
			poisonous("first,poison"), prompts("first,a", innocentInteval, 0), prompts("first,b", innocentInteval, 0), prompts("first,c,d", innocentInteval, 0), prompts("other,e", innocentInteval, 0),
		}, []string{"first,a", "first,b", "first,c,d", "other,e"}, 0, false},
		{"each time another entry", 360, []load{poisonous("first,poison"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0, false},
		{"entries that start and know nothing", 4, []load{poisonous("first,poison"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 5 * time.Second, false},
		{"hosts that do not refuse connections", 4, []load{poisonous("first,poison"), prompts("first,sound", innocentInteval, 0)}, []string{"first,sound"}, 0, true},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				po, began := newPartsPool(t, sc.entries), time.Now()
				po.restartInterval, po.silent = sc.restarts, sc.silent
				po.run(t.Context(), partsRunTime, sc.loads...)
				late := po.latePartArrivals()
				assert.Check(t, late <= maxLateArrivals, "requests with a part that had crashed five upstreams reached upstreams %d times more; %d crashed in all", late, len(po.crashes))
				for _, parts := range sc.innocents {
					share := po.wholeShare(parts, began.Add(poisonFrom+2*noticeTime), began.Add(partsRunTime))
					assert.Check(t, share >= minServedShare, "%.2f of the innocent requests with %s were answered afterwards", share, parts)
				}
				t.Logf("%d upstreams crashed, %d requests arrived late", len(po.crashes), late)
			})
		})
	}
}

// Guards against a quarantine of a part that is lost with all entries.
func TestPoisonousPartStaysQuarantinedWithoutEntries(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		po, before := newPartsPool(t, 4), 0
		time.AfterFunc(15*time.Second, func() {
			po.loseEntries()
			po.mu.Lock()
			defer po.mu.Unlock()
			before = len(po.crashes)
		})
		po.run(t.Context(), partsRunTime, poisonous("first,beside,poison"), prompts("first,sound", innocentInteval, 0))
		assert.Assert(t, before >= 3)
		assert.Equal(t, len(po.crashes), before, "upstreams crashed again after the loss of all entries")
	})
}

// Guards against a part that stays refused after its upstreams were repaired, or that is tried by many
// requests at once while they are not.
func TestPoisonousPartIsReleasedAfterRepair(t *testing.T) {
	for _, entries := range []int{4, 360} {
		runInBubble(t, func(t *testing.T) {
			po, began := newPartsPool(t, entries), time.Now()
			po.repaired = began.Add(150 * time.Second)
			poison := poisonous("first,poison")
			poison.until = 0
			po.run(t.Context(), 5*time.Minute, poison, prompts("first,sound", innocentInteval, 0))
			late := po.latePartArrivals()
			assert.Check(t, late <= maxLateArrivals, "%d requests reached upstreams again, %d crashed in all", late, len(po.crashes))
			share := po.wholeShare("first,poison", began.Add(280*time.Second), began.Add(5*time.Minute))
			assert.Check(t, share >= minServedShare, "%.2f are answered after the repair", share)
			t.Logf("%d upstreams crashed, %d requests arrived late", len(po.crashes), late)
		})
	}
}

// Guards against refusing prompts, or letting them wait, for upstreams that end by other causes.
func TestPartsAreNotQuarantinedInOutages(t *testing.T) {
	for _, sc := range []struct {
		testName string
		// interval is the time between two crashes of count upstreams.
		interval time.Duration
		count    int
		share    float64
	}{
		{"upstreams end one by one", time.Second, 1, 0.97},
		{"most upstreams end at once", 6 * time.Second, 6, 0.9},
		{"upstreams hardly live", 400 * time.Millisecond, 1, 0.9},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				po, began := newPartsPool(t, 4), time.Now()
				go po.crashAtIntervals(began.Add(partsRunTime), sc.interval, sc.count)
				po.run(t.Context(), partsRunTime, prompts("first,a", innocentInteval, 0), prompts("first,b", time.Second, 0), prompts("first,c", 3*time.Second, 0))
				assert.DeepEqual(t, po.refusedInnocents(), []string(nil))
				for _, parts := range []string{"first,a", "first,b", "first,c"} {
					share := po.wholeShare(parts, began, began.Add(partsRunTime))
					assert.Check(t, share >= sc.share, "%.2f of the requests with %s were answered", share, parts)
				}
			})
		})
	}
}

// Guards against clearing a part by an answer that has only begun, as its header, or a comment, came long
// before.
func TestPoisonousPartWithAnEarlyHeader(t *testing.T) {
	for _, stream := range []string{"id: 1\ndata: a\n\n", ": ping\n\nid: 1\ndata: a\n\n"} {
		runInBubble(t, func(t *testing.T) {
			po, began := newPartsPool(t, 3), time.Now()
			po.answerFirst = true
			po.endings = []behavior{func(ctx context.Context, _ *core.Call) (*core.Reply, error) {
				re := reply(http.StatusOK, "")
				re.Body = &body{Reader: iotest.OneByteReader(strings.NewReader(stream)), ctx: ctx, pause: 90 * time.Millisecond, end: errReset}
				return re, nil
			}}
			po.run(t.Context(), partsRunTime, poisonous("first,poison"), prompts("first,sound", innocentInteval, 0))
			late := po.latePartArrivals()
			assert.Check(t, late <= maxLateArrivals, "%q: requests with a part that had crashed five upstreams reached upstreams %d times more; %d crashed in all", stream, late, len(po.crashes))
			share := po.wholeShare("first,sound", began.Add(poisonFrom+2*noticeTime), began.Add(partsRunTime))
			assert.Check(t, share >= minServedShare, "%q: %.2f of the innocent requests were answered afterwards", stream, share)
		})
	}
}
