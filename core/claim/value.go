package claim

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// value is a bucket as it stands in the store. All its methods are pure.
type value struct {
	// Floor is the latest time of a claim that was dropped by retention, in
	// milliseconds since 1970.
	Floor int64 `json:"floor,omitempty"`
	// First and Last number the segments that hold the bucket's older done
	// claims; Last is below First when there are none.
	First  uint64   `json:"first,omitempty"`
	Last   uint64   `json:"last,omitempty"`
	Claims []record `json:"claims"`
}

// record is one claim.
type record struct {
	Key     fingerprint    `json:"key"`
	Digest  string         `json:"digest"`
	State   State          `json:"state"`
	Attempt core.AttemptID `json:"attempt"`
	Owner   core.ProcessID `json:"owner"`
	// At is when it was claimed, in milliseconds since 1970.
	At     int64   `json:"at"`
	Answer *Answer `json:"answer,omitempty"`
}

func decode(raw []byte) (*value, error) {
	val := &value{}
	if err := json.Unmarshal(raw, val); err != nil {
		return nil, eris.Wrap(err, "claim bucket is broken")
	}
	return val, nil
}

// size estimates a record's encoded size from above: base64 makes four bytes
// of three, and the names, the key and the time take up to 120. The rest of
// the overhead is the room for the ending of a claim without its answer.
func (re *record) size() int {
	size := 200 + len(re.Digest) + len(re.Attempt) + len(re.Owner)
	if re.Answer != nil {
		size += 80 + len(re.Answer.ContentType) + (len(re.Answer.Body)+2)/3*4
	}
	return size
}

// editor applies changes to a copy of a bucket.
type editor struct {
	self      core.ProcessID
	retention time.Duration
	room      int
	now       time.Time
	// folded has the folded claims of the keys to be changed.
	folded map[fingerprint]record

	val     value
	index   map[fingerprint]int
	size    int
	done    int // the size of the done claims
	changed bool
}

func newEditor(tbl *Table, now time.Time, val *value, seg *segments, folded map[fingerprint]record) *editor {
	ed := &editor{self: tbl.deps.Self, retention: tbl.retention, room: tbl.room, now: now, folded: folded}
	ed.val = value{Floor: val.Floor, First: max(val.First, 1), Last: val.Last}
	for ed.val.First <= ed.val.Last && ed.expired(Done, seg.newest[ed.val.First]) {
		ed.val.Floor = max(ed.val.Floor, seg.newest[ed.val.First])
		ed.val.First++
	}
	ed.fill(val.Claims, func(re *record) bool {
		if !ed.expired(re.State, re.At) {
			return true
		}
		ed.val.Floor = max(ed.val.Floor, re.At)
		return false
	})
	return ed
}

// fill takes over the claims that are kept.
func (ed *editor) fill(claims []record, keep func(*record) bool) {
	ed.index, ed.size, ed.done = make(map[fingerprint]int, len(claims)), 0, 0
	ed.val.Claims = make([]record, 0, len(claims))
	for _, re := range claims {
		if !keep(&re) {
			continue
		}
		ed.index[re.Key] = len(ed.val.Claims)
		ed.val.Claims = append(ed.val.Claims, re)
		ed.size += re.size()
		if re.State == Done {
			ed.done += re.size()
		}
	}
}

// fold leaves the claims out that a segment holds now.
func (ed *editor) fold(number uint64, claims []record) {
	held := make(map[fingerprint]core.AttemptID, len(claims))
	for _, re := range claims {
		held[re.Key] = re.Attempt
	}
	ed.fill(ed.val.Claims, func(re *record) bool { return re.State != Done || held[re.Key] != re.Attempt })
	ed.val.Last = number
	ed.changed = true
}

// expired reports whether retention drops a claim. One without an answer is
// kept twice as long: its owner may be paused, and refuses to run once the
// retention has passed since it claimed.
func (ed *editor) expired(st State, at int64) bool {
	kept := ed.retention + 2*skew
	if st != Done {
		kept += ed.retention
	}
	return ed.now.Sub(time.UnixMilli(at)) > kept
}

// result is what a change met. Settled outcomes never change; others are
// told only from a value that is known to be the newest.
type result struct {
	out     Outcome
	err     error
	settled bool
}

// apply makes one change. It may be applied again to a value that holds it
// already and then has the same result.
func (ed *editor) apply(ch *change) result {
	key := ch.req.Key.fingerprint()
	at, found := ed.index[key]
	var re *record
	if found {
		re = &ed.val.Claims[at]
	}
	own := found && re.Attempt == ch.req.Attempt && re.Owner == ed.self
	old, folded := ed.folded[key]
	switch {
	case ch.kind == finishing && folded && old.Attempt == ch.req.Attempt:
		return result{settled: true}
	case ch.kind == finishing:
		return ed.finish(re, own, ch.answer)
	case ch.kind == releasing || ch.givenUp():
		return ed.release(key, at, own)
	case own:
		return ed.owned(re)
	case found:
		return meet(re, ch.req)
	case folded:
		return meet(&old, ch.req)
	default:
		return ed.claim(key, ch.req)
	}
}

// meet tells what stands in the way of a claim.
func meet(re *record, req Request) result {
	switch {
	case re.Digest != shorten(req.Digest):
		return result{err: ErrReused}
	case re.State == Done:
		return result{out: Outcome{State: Done, Attempt: re.Attempt, Owner: re.Owner, Answer: *re.Answer}, settled: true}
	default:
		return result{out: Outcome{State: Claimed, Attempt: re.Attempt, Owner: re.Owner}}
	}
}

func (ed *editor) claim(key fingerprint, req Request) result {
	if !ed.timely(req.Key) {
		return result{err: ErrExpired}
	}
	re := record{Key: key, Digest: shorten(req.Digest), State: Claimed, Attempt: req.Attempt, Owner: ed.self, At: ed.now.UnixMilli()}
	if ed.size+re.size() > ed.room {
		return result{err: ErrFull}
	}
	ed.index[key] = len(ed.val.Claims)
	ed.val.Claims = append(ed.val.Claims, re)
	ed.size += re.size()
	ed.changed = true
	return ed.owned(&re)
}

func (ed *editor) owned(re *record) result {
	before := ed.now.Add(ed.retention - ed.now.Sub(time.UnixMilli(re.At)))
	return result{out: Outcome{State: Owned, Attempt: re.Attempt, Owner: re.Owner, RunBefore: before}, settled: true}
}

// timely refuses time-ordered keys whose claim may have been dropped. A claim
// is never written for a key that is more than skew ahead of its writer's
// clock, so a dropped claim's key is at most skew above the floor.
func (ed *editor) timely(ke Key) bool {
	made, ok := ke.made()
	if !ok {
		return true
	}
	floor := time.UnixMilli(ed.val.Floor)
	return made.After(floor.Add(skew)) && !made.After(ed.now.Add(skew)) && ed.now.Sub(made) <= ed.retention
}

// finish always finds room: an answer that does not fit loses its body.
func (ed *editor) finish(re *record, own bool, an Answer) result {
	if !own {
		return result{err: ErrNotOwner}
	}
	if re.State == Done {
		return result{settled: true}
	}
	ed.size -= re.size()
	re.State, re.Answer = Done, &an
	if ed.size+re.size() > ed.room {
		re.Answer = &Answer{Status: an.Status, ContentType: an.ContentType, Dropped: true}
	}
	ed.size += re.size()
	ed.done += re.size()
	ed.changed = true
	return result{settled: true}
}

// release of a claim that is absent is done already.
func (ed *editor) release(key fingerprint, at int, own bool) result {
	if !own || ed.val.Claims[at].State == Done {
		return result{settled: true}
	}
	ed.size -= ed.val.Claims[at].size()
	ed.val.Claims = slices.Delete(ed.val.Claims, at, at+1)
	delete(ed.index, key)
	for ke, pos := range ed.index {
		if pos > at {
			ed.index[ke] = pos - 1
		}
	}
	ed.changed = true
	return result{settled: true}
}

// shorten keeps 128 bits of a digest in hex.
func shorten(digest string) string { return digest[:min(len(digest), 32)] }
