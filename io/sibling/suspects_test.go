package sibling

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/balance"
	"skylarkstand/core/suspect"
)

func TestSuspectsDatagrams(t *testing.T) {
	now := time.Now()
	crashes := []suspect.Crash{
		{Fingerprint: 1, Upstream: balance.Incarnation{Upstream: 2, Start: 3}, Request: 4, Sent: now.Add(-time.Second), Ended: now.Add(-20 * time.Millisecond)},
		{Fingerprint: 5, Sent: now, Ended: now},
	}
	no, ok := decodeSuspects(now, encodeCrashes(now, crashes))
	assert.Assert(t, ok)
	assert.DeepEqual(t, no.Crashes, crashes)
	together := []suspect.Record{{Fingerprint: 8, State: suspect.Quarantined, Until: now.Add(time.Minute), With: [3]suspect.Fingerprint{9, 10}}}
	no, ok = decodeSuspects(now, encodeTogether(now, together))
	assert.Assert(t, ok)
	assert.DeepEqual(t, no.Quarantined, together)
	no, ok = decodeSuspects(now, encodeFingerprints(trialsFormat, []suspect.Fingerprint{6, 7}))
	assert.Assert(t, ok)
	assert.DeepEqual(t, no.Trials, []suspect.Fingerprint{6, 7})
	no, ok = decodeSuspects(now, encodeFingerprints(clearedFormat, []suspect.Fingerprint{6, 7}))
	assert.Assert(t, ok)
	assert.DeepEqual(t, no.Cleared, []suspect.Fingerprint{6, 7})
	no, ok = decodeSuspects(now, encodeQuarantined(now, []suspect.Record{{Fingerprint: 8, State: suspect.Quarantined, Until: now.Add(90500 * time.Millisecond)}}))
	assert.Assert(t, ok)
	assert.DeepEqual(t, no.Quarantined, []suspect.Record{{Fingerprint: 8, State: suspect.Quarantined, Until: now.Add(90 * time.Second)}})
	for _, data := range [][]byte{nil, {crashesFormat, 1}, {factsFormat}, {0}} {
		_, ok := decodeSuspects(now, data)
		assert.Assert(t, !ok)
	}
}

// suspectLoads announces crashes once and a number of requests in quarantine.
type suspectLoads struct {
	Loads
	notices suspect.Notices
}

func (sl *suspectLoads) TakeSuspects() suspect.Notices {
	no := sl.notices
	sl.notices.Crashes, sl.notices.Trials = nil, nil
	return no
}

// countingConn counts datagrams and their bytes.
type countingConn struct {
	net.PacketConn
	datagrams, bytes, largest int
}

func (cc *countingConn) WriteTo(data []byte, _ net.Addr) (int, error) {
	cc.datagrams++
	cc.bytes += len(data)
	cc.largest = max(cc.largest, len(data))
	return len(data), nil
}

// Guards against announcements whose cost grows faster than the number of entries: a crash costs each
// entry that had requests in flight there two datagrams to each other entry, and a quarantine each entry
// one small datagram a round.
func TestCostOfSuspectsAt360Entries(t *testing.T) {
	const entries, rounds = 360, 40
	var addrs []string
	for i := range entries - 1 {
		addrs = append(addrs, fmt.Sprintf("127.0.%d.%d:7340", i/250, 1+i%250))
	}
	now := time.Now()
	scenarios := []struct {
		testName         string
		crashes          int
		quarantined      int
		datagrams, bytes int
		trials           int
	}{
		{"at rest", 0, 0, 0, 0, 0},
		{"a crash with two requests in flight", 2, 0, 2 * (entries - 1), 2 * (entries - 1) * (1 + 2*crashSize), 0},
		{"one request in quarantine", 0, 1, rounds, rounds * (1 + quarantinedSize), 0},
		{"a thousand requests in quarantine", 0, 1000, rounds, rounds * (1 + maxQuarantinedRows*quarantinedSize), 0},
		{"the loss of all upstreams", 200, 0, 4 * 2 * (entries - 1), 2 * (entries - 1) * (4 + 200*crashSize), 0},
		{"a trial of two traits", 0, 0, 2 * (entries - 1), 2 * (entries - 1) * (1 + 2*clearedSize), 2},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			sl := new(suspectLoads)
			for i := range sc.crashes {
				sl.notices.Crashes = append(sl.notices.Crashes, suspect.Crash{Fingerprint: suspect.Fingerprint(i), Sent: now, Ended: now})
			}
			for i := range sc.trials {
				sl.notices.Trials = append(sl.notices.Trials, suspect.Fingerprint(i))
			}
			for i := range sc.quarantined {
				sl.notices.Quarantined = append(sl.notices.Quarantined, suspect.Record{Fingerprint: suspect.Fingerprint(i), State: suspect.Quarantined, Until: now.Add(time.Hour)})
			}
			gs := NewGossiper("self", "", sl, nil, func() []string { return addrs[:100] }, nil,
				RemoteEntries(func() map[core.Region][]string { return map[core.Region][]string{"south": addrs[100:]} }))
			cc := new(countingConn)
			for range rounds {
				gs.sendSuspects(cc)
			}
			assert.Equal(t, cc.datagrams, sc.datagrams)
			assert.Equal(t, cc.bytes, sc.bytes)
			assert.Assert(t, cc.largest <= 1400)
		})
	}
}

// Guards against an entry that has just started and lets requests in quarantine through until it happens to
// be told of them.
func TestStartedEntryAsksForQuarantines(t *testing.T) {
	sl := &suspectLoads{notices: suspect.Notices{Quarantined: []suspect.Record{{Fingerprint: 7, State: suspect.Quarantined, Until: time.Now().Add(time.Hour)}}}}
	addrs := func() []string { return []string{"127.0.0.1:1", "127.0.0.1:2"} }
	asked := NewGossiper("asked", "", sl, nil, addrs, nil)
	asked.sendSuspects(new(countingConn))
	var replies [][]byte
	asked.reply = func(data []byte, _ string) { replies = append(replies, data) }
	started, cc := NewGossiper("started", "", new(suspectLoads), nil, addrs, nil), new(countingConn)
	for range 5 {
		started.askQuarantined(cc)
	}
	assert.Equal(t, cc.datagrams, askRounds*2)
	assert.Assert(t, asked.receiveSuspects([]byte{quarantinedFormat}, "127.0.0.1:3"))
	assert.Equal(t, len(replies), 1)
	no, ok := decodeSuspects(time.Now(), replies[0])
	assert.Assert(t, ok)
	assert.Equal(t, no.Quarantined[0].Fingerprint, suspect.Fingerprint(7))
}
