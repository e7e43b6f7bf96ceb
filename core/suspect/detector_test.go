package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/balance"
	"skylarkstand/core/suspect"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// crash is a crash of an upstream with a request in flight; times are in seconds.
type crash struct {
	fp          suspect.Fingerprint
	request     uint16
	upstream    uint64
	sent, ended float64
}

func (cr crash) record() suspect.Crash {
	return suspect.Crash{
		Fingerprint: cr.fp, Request: cr.request, Upstream: balance.Incarnation{Upstream: cr.upstream},
		Sent: at(cr.sent), Ended: at(cr.ended),
	}
}

// poisonous are crashes of upstreams 1 to 4 by request 1, one after the other.
var poisonous = []crash{{1, 1, 1, 0, 0.2}, {1, 1, 2, 0.3, 0.5}, {1, 2, 3, 1, 1.2}, {1, 3, 4, 2, 2.2}}

// quarantined lists the requests that are quarantined at a time.
func quarantined(de *suspect.Detector, now time.Time) []suspect.Fingerprint {
	var out []suspect.Fingerprint
	for _, re := range de.TakeNotices(now).Quarantined {
		out = append(out, re.Fingerprint)
	}
	return out
}

// Guards against attributing a crash to a request that only was in flight, and against missing one that
// caused it, in any order of the news and with duplicates.
func TestAttributionOfCrashes(t *testing.T) {
	scenarios := []struct {
		testName string
		crashes  []crash
		want     []suspect.Fingerprint
	}{
		{"three in turn", poisonous[:3], []suspect.Fingerprint{1}},
		{"two in turn", poisonous[:2], nil},
		{"three attempts of one request", []crash{{1, 1, 1, 0, 0.2}, {1, 1, 2, 0.3, 0.5}, {1, 1, 3, 1, 1.2}}, nil},
		{"copies at upstreams that end at once", []crash{{1, 1, 1, 0, 1}, {1, 2, 2, 0.1, 1}, {1, 3, 3, 0.2, 1.1}}, nil},
		{"copies at one upstream", []crash{{1, 1, 1, 0, 1}, {1, 2, 1, 0.1, 1}, {1, 3, 1, 0.5, 1}}, nil},
		{"in flight beside it at each of three", append([]crash{{1, 4, 5, 3, 3.2}, {2, 8, 2, 0.2, 0.5}, {2, 8, 3, 0.6, 1.2}, {2, 9, 4, 1.3, 2.2}}, poisonous...), []suspect.Fingerprint{1}},
		{"always in flight together so far", append([]crash{{2, 8, 1, 0, 0.2}, {2, 8, 2, 0.2, 0.5}, {2, 9, 3, 0.6, 1.2}}, poisonous[:3]...), nil},
		{"cut in each of three outages", []crash{
			{1, 1, 1, 0, 0.2}, {2, 5, 11, 0, 0.1}, {1, 1, 2, 0.3, 3.2}, {3, 6, 12, 3, 3.1}, {1, 2, 3, 4, 5.2}, {4, 7, 13, 4.9, 5.4},
		}, nil},
		{"poisonous, and an outage once", append([]crash{{2, 5, 11, 0, 0.1}, {1, 4, 5, 3, 3.2}}, poisonous...), []suspect.Fingerprint{1}},
		{"two poisonous requests at the same time", []crash{
			{1, 1, 1, 0, 0.2}, {2, 5, 11, 0, 0.3}, {1, 1, 2, 0.5, 0.7}, {2, 5, 12, 0.5, 0.8}, {1, 2, 3, 1, 1.2}, {2, 6, 13, 1, 1.3},
		}, []suspect.Fingerprint{1, 2}},
		{"two poisonous requests", append([]crash{{2, 8, 4, 2, 2.2}, {2, 8, 5, 3, 3.2}, {2, 9, 6, 4, 4.2}, {2, 9, 7, 5, 5.2}}, poisonous...), []suspect.Fingerprint{1, 2}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			for range 20 {
				de := suspect.NewDetector(suspect.New())
				news := append(append([]crash{}, sc.crashes...), sc.crashes...)
				rnd.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
				for _, cr := range news {
					de.ReceiveNotices(at(6), suspect.Notices{Crashes: []suspect.Crash{cr.record()}})
				}
				assert.Equal(t, len(de.Quarantine(at(6.1))), 0, "the other entries have not announced theirs yet")
				de.Quarantine(at(7))
				assert.DeepEqual(t, quarantined(de, at(7)), sc.want)
			}
		})
	}
}

// Guards against quarantining a request that upstreams complete, by this entry's or another one's
// observation.
func TestCompletedRequestIsNoSuspect(t *testing.T) {
	scenarios := []struct {
		testName string
		complete func(own, other *suspect.Detector)
	}{
		{"before the crashes, at this entry", func(own, _ *suspect.Detector) { own.RecordCompleted(1, at(-1)) }},
		{"before the crashes, at another entry", func(_, other *suspect.Detector) { other.RecordCompleted(1, at(-1)) }},
		{"after the crashes, at this entry", func(own, _ *suspect.Detector) { own.RecordCompleted(1, at(2.3)) }},
	}
	for i, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			own, other := suspect.NewDetector(suspect.New()), suspect.NewDetector(suspect.New())
			if i < 2 {
				sc.complete(own, other)
			}
			for _, cr := range poisonous {
				own.RecordCrash(cr.record(), at(cr.ended))
			}
			if i == 2 {
				sc.complete(own, other)
			}
			other.ReceiveNotices(at(2.4), own.TakeNotices(at(2.4)))
			own.ReceiveNotices(at(2.4), other.TakeNotices(at(2.4)))
			assert.Equal(t, len(own.Quarantine(at(4))), 0)
			assert.Equal(t, len(other.Quarantine(at(4))), 0)
		})
	}
}

// A popular request and a poisonous one were in flight at the same crashes. The wrong one must not stay
// quarantined, and the right one must.
func TestAmbiguousQuarantineIsProvisional(t *testing.T) {
	de := suspect.NewDetector(suspect.New())
	for n := range 8 {
		sent, up := float64(n), uint64(n)
		de.RecordCrash(crash{1, uint16(n), up, sent + 0.7, sent + 0.8}.record(), at(sent+0.8))
		de.RecordCrash(crash{2, uint16(n), up, sent, sent + 0.8}.record(), at(sent+0.8))
	}
	records := de.Quarantine(at(9))
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Fingerprint, suspect.Fingerprint(1), "it had just begun at each crash")
	assert.Assert(t, records[0].Until.Before(at(30)))
	de.RecordCompleted(2, at(10))
	records = de.Quarantine(at(11))
	assert.Equal(t, len(records), 1)
	assert.Assert(t, records[0].Until.After(at(600)), "it alone explains the crashes now")
}

// Guards against an entry that has just started and sends a quarantined request to upstreams, and against
// records that entries renew for each other.
func TestStartedEntryLearnsOfQuarantines(t *testing.T) {
	de, started := suspect.NewDetector(suspect.New()), suspect.NewDetector(suspect.New())
	for _, cr := range poisonous {
		de.RecordCrash(cr.record(), at(cr.ended))
	}
	assert.Equal(t, len(de.Quarantine(at(4.5))), 1)
	until := de.Lookup(1, at(5)).Until
	assert.Equal(t, len(started.ReceiveNotices(at(5), de.TakeNotices(at(5)))), 1)
	assert.Equal(t, len(started.ReceiveNotices(at(6), de.TakeNotices(at(6)))), 0)
	assert.Equal(t, started.Lookup(1, until.Add(-time.Second)).State, suspect.Quarantined)
	assert.Equal(t, started.Lookup(1, until).State, suspect.Free)
}

// heapSize returns the bytes of live objects.
func heapSize() uint64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// Guards against suspects that grow with the fleet: the memory of an entry stays bounded after the loss
// of all upstreams of a fleet, and after any number of completed requests.
func TestMemoryOfSuspectsIsBounded(t *testing.T) {
	const maxBytes = 3 << 20
	before := heapSize()
	de := suspect.NewDetector(suspect.New())
	for n := range 100_000 {
		now := at(float64(n) / 10_000)
		de.RecordCompleted(suspect.FingerprintOf(attempt(fmt.Sprint("good ", n))), now)
		cr := crash{suspect.FingerprintOf(attempt(fmt.Sprint("suspect ", n))), 1, uint64(n % 624), 0, float64(n) / 10_000}
		de.ReceiveNotices(now, suspect.Notices{Crashes: []suspect.Crash{cr.record()}})
	}
	de.Quarantine(at(20))
	used := heapSize() - before
	assert.Assert(t, used < maxBytes, "%d bytes", used)
	t.Logf("%d bytes", used)
	runtime.KeepAlive(de)
}

// Guards against an innocent request that stays quarantined everywhere because one entry has missed the
// news: a completed request leaves quarantine at all entries, and does not come back by older news.
func TestCompletedRequestLeavesQuarantine(t *testing.T) {
	misinformed, other := suspect.NewDetector(suspect.New()), suspect.NewDetector(suspect.New())
	for _, cr := range poisonous {
		misinformed.RecordCrash(cr.record(), at(cr.ended))
	}
	assert.Equal(t, len(misinformed.Quarantine(at(4.5))), 1)
	stale := misinformed.TakeNotices(at(4.5))
	assert.Equal(t, len(other.ReceiveNotices(at(4.6), stale)), 1)
	other.RecordCompleted(1, at(5)) // An attempt that was in flight.
	assert.Equal(t, other.Lookup(1, at(5)).State, suspect.Free)
	assert.Equal(t, len(other.ReceiveNotices(at(5.1), stale)), 0)
	misinformed.ReceiveNotices(at(5.2), other.TakeNotices(at(5.2)))
	assert.Equal(t, misinformed.Lookup(1, at(5.2)).State, suspect.Free)
	assert.Equal(t, len(misinformed.Quarantine(at(8))), 0)
}
