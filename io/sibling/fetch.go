package sibling

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/replica"
)

const (
	// fetchFanout is the number of siblings that receive one request in parallel. The store at
	// times rejects a third of the hosts; of three siblings, nearly always at least one is up
	// to date.
	fetchFanout = 3
	// requestTimeout bounds a request to one sibling, beyond the time that it may wait for a first copy.
	requestTimeout = 700 * time.Millisecond
	// copyWait is how long a seed may wait for its own first copy.
	copyWait = 800 * time.Millisecond
	// minBusyDelay and maxBusyDelay bound the pause before another try when a sibling has too many
	// transfers; it doubles with each try. Half of it is random.
	minBusyDelay = 50 * time.Millisecond
	maxBusyDelay = 400 * time.Millisecond
)

// errBusy is the error of a sibling that has too many transfers or no copy yet. It may name others.
type errBusy struct{ peers []string }

// Error implements error.
func (*errBusy) Error() string { return "sibling: too many transfers, or no copy yet" }

// busyError decodes the response of a busy sibling.
func busyError(raw []byte) error {
	var bu busy
	_ = json.Unmarshal(raw, &bu) // Earlier releases send plain text, which names nobody.
	return &errBusy{bu.Peers}
}

// Fetch implements replica.Siblings. It returns the newest response of a few siblings.
func (si *Siblings) Fetch(ctx context.Context, after core.Revision) (replica.Update, error) {
	addrs := si.addrs()
	if len(addrs) == 0 {
		return replica.Update{}, eris.New("sibling: no other entry is registered")
	}
	type result struct {
		up  replica.Update
		err error
	}
	n := min(fetchFanout, len(addrs))
	got := make(chan result, n)
	first := si.randIntN(len(addrs))
	for i := range n {
		addr := addrs[(first+i)%len(addrs)]
		go func() {
			up, err := si.FetchFrom(ctx, addr, after)
			got <- result{up, err}
		}()
	}
	best, found := replica.Update{}, false
	var lastErr error
	for range n {
		re := <-got
		if re.err != nil {
			lastErr = re.err
			continue
		}
		if !found || re.up.Revision > best.Revision || re.up.Revision == best.Revision && re.up.Age < best.Age {
			best, found = re.up, true
		}
	}
	if !found {
		return best, lastErr
	}
	return best, nil
}

// FetchFrom implements replica.Siblings. A sibling that has too many transfers refers to others that it
// has served.
func (si *Siblings) FetchFrom(ctx context.Context, addr string, after core.Revision) (replica.Update, error) {
	up, _, err := si.fetch(ctx, addr, after, 0)
	return up, err
}

// FetchFirst implements replica.Seeds.
func (si *Siblings) FetchFirst(ctx context.Context) (replica.Update, error) {
	if si.isSeed && !si.triedStore.Swap(true) {
		return replica.Update{}, eris.New("sibling: this entry is a seed")
	}
	if len(si.seeds) == 0 {
		return replica.Update{}, eris.New("sibling: the settings name no other entry as a seed")
	}
	next := si.randIntN(len(si.seeds))
	for {
		addr := si.seeds[next%len(si.seeds)]
		next++
		up, from, err := si.fetch(ctx, addr, 0, copyWait)
		if err == nil {
			si.onFirst(from)
			return up, nil
		}
		if !pause(ctx, minBusyDelay) {
			return replica.Update{}, err
		}
	}
}

// fetch gets an update from a sibling or from one that it refers to, and the address of the one that it
// came from. wait is how long each may wait for its first copy.
func (si *Siblings) fetch(ctx context.Context, addr string, after core.Revision, wait time.Duration) (replica.Update, string, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}}
	if si.own != "" {
		query.Set(paramFrom, si.own)
	}
	if wait > 0 {
		query.Set(paramWait, strconv.FormatInt(wait.Milliseconds(), 10))
	}
	to := addr
	for delay := minBusyDelay; ; delay = min(2*delay, maxBusyDelay) {
		ms, err := si.requestUpdate(ctx, to, "?"+query.Encode(), requestTimeout+wait)
		if err == nil && (to == addr || ms.Newer) {
			return ms.update(), ms.From, nil
		}
		var bu *errBusy
		if to == addr && !errors.As(err, &bu) {
			return replica.Update{}, "", err
		}
		to = addr
		if bu != nil && len(bu.peers) > 0 && rand.IntN(len(bu.peers)+1) > 0 {
			to = bu.peers[rand.IntN(len(bu.peers))]
		}
		if !pause(ctx, delay) {
			return replica.Update{}, "", ctx.Err()
		}
	}
}

func (si *Siblings) requestUpdate(ctx context.Context, addr, query string, limit time.Duration) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var ms message
	err := si.get(ctx, addr, ReplicaPath+query, &ms)
	if err == nil {
		err = ms.check()
	}
	return ms, err
}

func (ms message) update() replica.Update {
	up := replica.Update{
		Newer: ms.Newer, Full: ms.Whole, Revision: ms.Revision, Age: core.DurationWithin(float64(ms.AgeMs), time.Millisecond, maxAge), Doubtful: ms.Doubtful,
	}
	for _, ch := range ms.Changes {
		up.Changes = append(up.Changes, core.Change{Item: core.Item(ch.item), Removed: ch.Gone, Certain: ch.Certain})
	}
	for _, it := range ms.Items {
		up.Items = append(up.Items, core.Item(it))
	}
	return up
}

// pause waits for between half of a duration and all of it, and returns false if the context ends before.
func pause(ctx context.Context, du time.Duration) bool {
	ti := time.NewTimer(du/2 + rand.N(du/2))
	defer ti.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ti.C:
		return true
	}
}
