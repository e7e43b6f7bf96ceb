package sibling

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"skylarkstand/core/balance"
	"skylarkstand/core/suspect"
)

// Datagrams about requests and parts of prompts consist of a format byte and rows, each with a fingerprint
// first. Rows of crashes continue with the upstream's hash and start, the request's hash, and the times
// since the attempt was sent and since its connection broke, both in agoUnit; rows of what is in quarantine
// with the seconds left, and of what is so only together with other traits with the fingerprints of these.
// A datagram of quarantinedFormat without rows asks for what its receiver has in quarantine.
const (
	crashesFormat     = 0x8a
	clearedFormat     = 0x8b
	quarantinedFormat = 0x8c
	togetherFormat    = 0x8d
	trialsFormat      = 0x8e
	crashSize         = 8 + 8 + 2 + 2 + 2 + 2
	clearedSize       = 8
	quarantinedSize   = 8 + 2
	togetherSize      = quarantinedSize + 8*len(suspect.Record{}.With)
	agoUnit           = 10 * time.Millisecond
	// The limits on rows keep a datagram below the usual packet size.
	maxCrashRows       = 55
	maxClearedRows     = 160
	maxQuarantinedRows = 130
	maxTogetherRows    = 40
	// An entry that has started asks askFanout others for the requests in quarantine, askRounds times.
	askFanout = 3
	askRounds = 3
	// crashRounds is the number of rounds in which crashes and cleared requests are announced.
	crashRounds = 2
)

// sendSuspects announces to the entries of all regions which requests were in flight at crashes, and
// which of them are innocent. The requests in quarantine go to one random entry, which may have missed the
// crashes; so their cost does not grow with the number of entries.
func (gs *Gossiper) sendSuspects(pc net.PacketConn) {
	no, now := gs.ld.TakeSuspects(), time.Now()
	gs.storeQuarantined(now, no.Quarantined)
	crashes, cleared, trials := gs.crashes.next(no.Crashes), gs.cleared.next(no.Cleared), gs.trials.next(no.Trials)
	if len(crashes)+len(cleared)+len(trials)+len(no.Quarantined) == 0 {
		return
	}
	addrs := gs.allAddrs()
	for part := range slices.Chunk(crashes, maxCrashRows) {
		sendDatagrams(pc, addrs, encodeCrashes(now, part))
	}
	for part := range slices.Chunk(cleared, maxClearedRows) {
		sendDatagrams(pc, addrs, encodeFingerprints(clearedFormat, part))
	}
	for part := range slices.Chunk(trials, maxClearedRows) {
		sendDatagrams(pc, addrs, encodeFingerprints(trialsFormat, part))
	}
	if own := gs.quarantined.Load(); own != nil && len(addrs) > 0 {
		to := []string{addrs[rand.IntN(len(addrs))]}
		for _, data := range *own {
			sendDatagrams(pc, to, data)
		}
	}
}

// storeQuarantined stores the datagrams with what is in quarantine, a random part if there is too much.
func (gs *Gossiper) storeQuarantined(now time.Time, records []suspect.Record) {
	if len(records) == 0 {
		gs.quarantined.Store(nil)
		return
	}
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	var alone, together []suspect.Record
	for _, re := range records {
		if re.With == (suspect.Record{}).With {
			alone = append(alone, re)
		} else {
			together = append(together, re)
		}
	}
	var datagrams [][]byte
	if len(alone) > 0 {
		datagrams = append(datagrams, encodeQuarantined(now, alone[:min(len(alone), maxQuarantinedRows)]))
	}
	if len(together) > 0 {
		datagrams = append(datagrams, encodeTogether(now, together[:min(len(together), maxTogetherRows)]))
	}
	gs.quarantined.Store(&datagrams)
}

// askQuarantined asks some entries for the requests in quarantine, in the first rounds in which any are
// known: callers may send such a request here at once.
func (gs *Gossiper) askQuarantined(pc net.PacketConn) {
	if gs.asksLeft == 0 {
		return
	}
	addrs := slices.Clone(gs.addrs())
	if len(addrs) == 0 {
		addrs = gs.allAddrs()
	}
	if len(addrs) == 0 {
		return
	}
	gs.asksLeft--
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	sendDatagrams(pc, addrs[:min(len(addrs), askFanout)], []byte{quarantinedFormat})
}

// receiveSuspects processes a datagram about requests. It returns false for any other datagram.
func (gs *Gossiper) receiveSuspects(data []byte, addr string) bool {
	no, ok := decodeSuspects(time.Now(), data)
	switch own := gs.quarantined.Load(); {
	case !ok:
		return false
	case len(data) > 1:
		gs.ld.ReceiveSuspects(no)
	case own != nil:
		for _, data := range *own {
			gs.reply(data, addr)
		}
	}
	return true
}

func encodeCrashes(now time.Time, crashes []suspect.Crash) []byte {
	data := make([]byte, 0, 1+len(crashes)*crashSize)
	data = append(data, crashesFormat)
	for _, cr := range crashes {
		data = binary.BigEndian.AppendUint64(data, uint64(cr.Fingerprint))
		data = binary.BigEndian.AppendUint64(data, cr.Upstream.Upstream)
		data = binary.BigEndian.AppendUint16(data, cr.Upstream.Start)
		data = binary.BigEndian.AppendUint16(data, cr.Request)
		data = binary.BigEndian.AppendUint16(data, agoUnits(now.Sub(cr.Sent)))
		data = binary.BigEndian.AppendUint16(data, agoUnits(now.Sub(cr.Ended)))
	}
	return data
}

func agoUnits(ago time.Duration) uint16 { return uint16(min(max(ago, 0)/agoUnit, maxUnits)) }

func encodeFingerprints(format byte, fps []suspect.Fingerprint) []byte {
	data := make([]byte, 0, 1+len(fps)*clearedSize)
	data = append(data, format)
	for _, fp := range fps {
		data = binary.BigEndian.AppendUint64(data, uint64(fp))
	}
	return data
}

// encodeQuarantined rounds the time left down, so that entries do not renew each other's records.
func encodeQuarantined(now time.Time, records []suspect.Record) []byte {
	data := make([]byte, 0, 1+len(records)*quarantinedSize)
	data = append(data, quarantinedFormat)
	for _, re := range records {
		data = appendQuarantined(data, now, re)
	}
	return data
}

func appendQuarantined(data []byte, now time.Time, re suspect.Record) []byte {
	data = binary.BigEndian.AppendUint64(data, uint64(re.Fingerprint))
	return binary.BigEndian.AppendUint16(data, uint16(min(max(re.Until.Sub(now), 0)/time.Second, maxUnits)))
}

func encodeTogether(now time.Time, records []suspect.Record) []byte {
	data := make([]byte, 0, 1+len(records)*togetherSize)
	data = append(data, togetherFormat)
	for _, re := range records {
		data = appendQuarantined(data, now, re)
		for _, fp := range re.With {
			data = binary.BigEndian.AppendUint64(data, uint64(fp))
		}
	}
	return data
}

func decodeQuarantined(now time.Time, fp suspect.Fingerprint, row []byte) suspect.Record {
	left := time.Duration(binary.BigEndian.Uint16(row)) * time.Second
	return suspect.Record{Fingerprint: fp, State: suspect.Quarantined, Until: now.Add(left)}
}

// decodeSuspects decodes a datagram about requests. It returns false for any other datagram.
func decodeSuspects(now time.Time, data []byte) (no suspect.Notices, ok bool) {
	if len(data) == 0 {
		return no, false
	}
	size := map[byte]int{crashesFormat: crashSize, clearedFormat: clearedSize, quarantinedFormat: quarantinedSize, togetherFormat: togetherSize, trialsFormat: clearedSize}[data[0]]
	if size == 0 || (len(data)-1)%size != 0 {
		return no, false
	}
	for row := range slices.Chunk(data[1:], size) {
		fp := suspect.Fingerprint(binary.BigEndian.Uint64(row))
		switch data[0] {
		case crashesFormat:
			no.Crashes = append(no.Crashes, decodeCrash(now, fp, row[8:]))
		case clearedFormat:
			no.Cleared = append(no.Cleared, fp)
		case trialsFormat:
			no.Trials = append(no.Trials, fp)
		case quarantinedFormat:
			no.Quarantined = append(no.Quarantined, decodeQuarantined(now, fp, row[8:]))
		case togetherFormat:
			re := decodeQuarantined(now, fp, row[8:])
			for i := range re.With {
				re.With[i] = suspect.Fingerprint(binary.BigEndian.Uint64(row[quarantinedSize+8*i:]))
			}
			no.Quarantined = append(no.Quarantined, re)
		}
	}
	return no, true
}

func decodeCrash(now time.Time, fp suspect.Fingerprint, row []byte) suspect.Crash {
	ago := func(data []byte) time.Time {
		return now.Add(-time.Duration(binary.BigEndian.Uint16(data)) * agoUnit)
	}
	return suspect.Crash{
		Fingerprint: fp, Upstream: balance.Incarnation{Upstream: binary.BigEndian.Uint64(row), Start: binary.BigEndian.Uint16(row[8:])},
		Request: binary.BigEndian.Uint16(row[10:]), Sent: ago(row[12:]), Ended: ago(row[14:]),
	}
}
