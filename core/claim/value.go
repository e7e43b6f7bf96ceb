package claim

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// bucketValue is the stored form of a bucket.
type bucketValue struct {
	// Floor is the latest claim time among the claims that retention has dropped, in milliseconds
	// since 1970.
	Floor int64 `json:"floor,omitempty"`
	// First and Last number the segments that hold the bucket's older done claims. Last is below
	// First when there are none.
	First  uint64   `json:"first,omitempty"`
	Last   uint64   `json:"last,omitempty"`
	Claims []record `json:"claims"`
}

// record is the stored form of one claim.
type record struct {
	Key     fingerprint    `json:"key"`
	Digest  string         `json:"digest"`
	State   State          `json:"state"`
	Attempt core.AttemptID `json:"attempt"`
	Owner   core.ProcessID `json:"owner"`
	// At is the time of the claim, in milliseconds since 1970.
	At     int64   `json:"at"`
	Answer *Answer `json:"answer,omitempty"`
}

func decode(raw []byte) (*bucketValue, error) {
	val := &bucketValue{}
	if err := json.Unmarshal(raw, val); err != nil {
		return nil, eris.Wrap(err, "decode claim bucket")
	}
	return val, nil
}

// size returns an upper bound of a record's encoded size: base64 encodes three bytes as four, and
// the field names, the key and the time take up to 120 bytes. The rest of the 200 bytes leaves room
// to finish a claim without storing its answer's body.
func (re *record) size() int {
	size := 200 + len(re.Digest) + len(re.Attempt) + len(re.Owner)
	if re.Answer != nil {
		size += 80 + len(re.Answer.ContentType) + (len(re.Answer.Body)+2)/3*4
	}
	return size
}

// editor applies changes to a copy of a bucket. It does no I/O and reads no clock.
type editor struct {
	self      core.ProcessID
	retention time.Duration
	maxBytes  int
	now       time.Time
	// archived holds the archived claims of the keys to be changed.
	archived map[fingerprint]record

	val        bucketValue
	index      map[fingerprint]int
	totalBytes int
	doneBytes  int // the size of the done claims, in bytes
	changed    bool
}

// newEditor returns an editor of a copy of val, without the claims and segments that retention
// drops. Dropping alone does not count as a change.
func newEditor(tbl *Table, now time.Time, val *bucketValue, seg *segmentIndex, archived map[fingerprint]record) *editor {
	ed := &editor{self: tbl.deps.Self, retention: tbl.retention, maxBytes: tbl.maxBucketBytes, now: now, archived: archived}
	ed.val = bucketValue{Floor: val.Floor, First: max(val.First, 1), Last: val.Last}
	for ed.val.First <= ed.val.Last && ed.expired(Done, seg.newest[ed.val.First]) {
		ed.val.Floor = max(ed.val.Floor, seg.newest[ed.val.First])
		ed.val.First++
	}
	ed.setClaims(val.Claims, func(re *record) bool {
		if !ed.expired(re.State, re.At) {
			return true
		}
		ed.val.Floor = max(ed.val.Floor, re.At)
		return false
	})
	return ed
}

// setClaims replaces the bucket's claims by those that keep accepts.
func (ed *editor) setClaims(claims []record, keep func(*record) bool) {
	ed.index, ed.totalBytes, ed.doneBytes = make(map[fingerprint]int, len(claims)), 0, 0
	ed.val.Claims = make([]record, 0, len(claims))
	for _, re := range claims {
		if !keep(&re) {
			continue
		}
		ed.index[re.Key] = len(ed.val.Claims)
		ed.val.Claims = append(ed.val.Claims, re)
		ed.totalBytes += re.size()
		if re.State == Done {
			ed.doneBytes += re.size()
		}
	}
}

// removeArchived removes the claims that the new segment holds, and makes it the bucket's last
// segment.
func (ed *editor) removeArchived(number uint64, claims []record) {
	archived := make(map[fingerprint]core.AttemptID, len(claims))
	for _, re := range claims {
		archived[re.Key] = re.Attempt
	}
	ed.setClaims(ed.val.Claims, func(re *record) bool { return re.State != Done || archived[re.Key] != re.Attempt })
	ed.val.Last = number
	ed.changed = true
}

// expired reports whether retention drops a claim. A claim without an answer is kept for twice the
// retention: its owner may be paused, and refuses to run only once the retention has passed since
// it claimed.
func (ed *editor) expired(st State, at int64) bool {
	keepFor := ed.retention + 2*maxClockSkew
	if st != Done {
		keepFor += ed.retention
	}
	return ed.now.Sub(time.UnixMilli(at)) > keepFor
}

// result is the outcome of a change. A final result holds whatever other processes write; any other
// may be delivered only if the value it was computed from is known to be the newest.
type result struct {
	out   Outcome
	err   error
	final bool
}

// apply applies one change. It is idempotent: applied to a value that already contains the change,
// it returns the same result.
func (ed *editor) apply(ch *change) result {
	key := ch.req.Key.fingerprint()
	at, found := ed.index[key]
	var re *record
	if found {
		re = &ed.val.Claims[at]
	}
	own := found && re.Attempt == ch.req.Attempt && re.Owner == ed.self
	old, isArchived := ed.archived[key]
	switch {
	case ch.kind == finishing && isArchived && old.Attempt == ch.req.Attempt:
		return result{final: true}
	case ch.kind == finishing:
		return ed.finish(re, own, ch.answer)
	case ch.kind == releasing || ch.isAbandoned():
		return ed.release(key, at, own)
	case own:
		return ed.ownedResult(re)
	case found:
		return existingResult(re, ch.req)
	case isArchived:
		return existingResult(&old, ch.req)
	default:
		return ed.claim(key, ch.req)
	}
}

// existingResult returns the result of claiming a key that already has a claim.
func existingResult(re *record, req Request) result {
	switch {
	case re.Digest != truncateDigest(req.Digest):
		return result{err: ErrReused}
	case re.State == Done:
		return result{out: Outcome{State: Done, Attempt: re.Attempt, Owner: re.Owner, Answer: *re.Answer}, final: true}
	default:
		return result{out: Outcome{State: Claimed, Attempt: re.Attempt, Owner: re.Owner}}
	}
}

func (ed *editor) claim(key fingerprint, req Request) result {
	if !ed.acceptsKeyTime(req.Key) {
		return result{err: ErrExpired}
	}
	re := record{Key: key, Digest: truncateDigest(req.Digest), State: Claimed, Attempt: req.Attempt, Owner: ed.self, At: ed.now.UnixMilli()}
	if ed.totalBytes+re.size() > ed.maxBytes {
		return result{err: ErrFull}
	}
	ed.index[key] = len(ed.val.Claims)
	ed.val.Claims = append(ed.val.Claims, re)
	ed.totalBytes += re.size()
	ed.changed = true
	return ed.ownedResult(&re)
}

func (ed *editor) ownedResult(re *record) result {
	runBefore := ed.now.Add(ed.retention - ed.now.Sub(time.UnixMilli(re.At)))
	return result{out: Outcome{State: Owned, Attempt: re.Attempt, Owner: re.Owner, RunBefore: runBefore}, final: true}
}

// acceptsKeyTime refuses a time-ordered key whose claim may have been dropped, and one that is more
// than maxClockSkew ahead of this agent's clock. It accepts a key that carries no time. No claim is
// written for a key that is more than maxClockSkew ahead of its writer's clock, so the key of a
// dropped claim is at most maxClockSkew above the floor.
func (ed *editor) acceptsKeyTime(ke Key) bool {
	made, ok := ke.creationTime()
	if !ok {
		return true
	}
	floor := time.UnixMilli(ed.val.Floor)
	return made.After(floor.Add(maxClockSkew)) && !made.After(ed.now.Add(maxClockSkew)) && ed.now.Sub(made) <= ed.retention
}

// finish stores the answer of an owned claim. It always fits: an answer that exceeds the bucket's
// size is stored without its body.
func (ed *editor) finish(re *record, own bool, an Answer) result {
	if !own {
		return result{err: ErrNotOwner}
	}
	if re.State == Done {
		return result{final: true}
	}
	ed.totalBytes -= re.size()
	re.State, re.Answer = Done, &an
	if ed.totalBytes+re.size() > ed.maxBytes {
		re.Answer = &Answer{Status: an.Status, ContentType: an.ContentType, Dropped: true}
	}
	ed.totalBytes += re.size()
	ed.doneBytes += re.size()
	ed.changed = true
	return result{final: true}
}

// release removes an owned claim that is not done. Releasing an absent claim succeeds, so that a
// retry has no effect.
func (ed *editor) release(key fingerprint, at int, own bool) result {
	if !own || ed.val.Claims[at].State == Done {
		return result{final: true}
	}
	ed.totalBytes -= ed.val.Claims[at].size()
	ed.val.Claims = slices.Delete(ed.val.Claims, at, at+1)
	delete(ed.index, key)
	for fp, pos := range ed.index {
		if pos > at {
			ed.index[fp] = pos - 1
		}
	}
	ed.changed = true
	return result{final: true}
}

// truncateDigest keeps the first 128 bits of a digest in hex.
func truncateDigest(digest string) string { return digest[:min(len(digest), 32)] }
