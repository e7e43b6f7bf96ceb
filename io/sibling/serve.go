package sibling

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/replica"
)

// ReplicaPath is the URL path of the replica. The query parameter "after" is the client's revision.
const (
	ReplicaPath = "/mirror"
	// changesOnly makes the server return an error instead of the whole replica. Only earlier releases
	// send it.
	changesOnly = "changes-only"
	// paramFrom is the address at which the client serves siblings, to which the server may refer
	// others, and paramWait how many milliseconds it waits for a server without a first copy.
	paramFrom = "from"
	paramWait = "wait-ms"
)

const (
	// compressFrom is the size in bytes from which a response is compressed. Only configurations with
	// hundreds of routes justify the memory of a compressor.
	compressFrom = 16 << 10
	// transferSize is the size in bytes, as sent, from which a response counts as a transfer.
	transferSize = 4 << 10
	// maxTransfers is the number of transfers at a time. Further clients are referred to those that were
	// served: the copies of a region spread from entry to entry in a time that grows with the logarithm
	// of their number, and no entry's link carries more than its share.
	maxTransfers = 4
	// maxReferrals is the number of clients that are remembered for referrals.
	maxReferrals = 16
	// encodedTTL is how long an encoded response is used again; its age is outdated by as much.
	encodedTTL = time.Second
	// maxEncoded bounds the encoded responses, for clients at different revisions.
	maxEncoded = 4
	// maxCopyWait bounds how long a request waits for a first copy.
	maxCopyWait = time.Second
	// transferTimeout bounds the writing of a response.
	transferTimeout = 3 * time.Second
)

// busy is the JSON response of a server that has too many transfers, or no copy yet.
type busy struct {
	// Peers are the addresses of entries that have the copy.
	Peers []string `json:"peers,omitempty"`
}

// replicaServer serves a replica to siblings.
type replicaServer struct {
	own       string
	re        *replica.Replica
	doubtful  func() bool
	transfers chan struct{}

	mu sync.Mutex
	// served are the clients that got the replica at the revision servedRevision, the newest last.
	served         []string
	servedRevision core.Revision
	encoded        []encoded
}

// encoded is a response for clients at one revision.
type encoded struct {
	after, revision core.Revision
	at              time.Time
	body            []byte
	compressed      bool
}

// ReplicaHandler serves a replica to siblings: the changes since their revision, or the whole
// replica if they lag too far behind. own is the address that it is served at; doubtful reports whether
// a removal may have been caused by a store outage.
func ReplicaHandler(own string, re *replica.Replica, doubtful func() bool) http.Handler {
	return &replicaServer{own: own, re: re, doubtful: doubtful, transfers: make(chan struct{}, maxTransfers)}
}

// ServeHTTP implements http.Handler.
func (rs *replicaServer) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	after, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	if _, _, complete := rs.re.Since(core.Revision(after)); !complete && rq.FormValue(changesOnly) != "" {
		http.Error(w, "the changes are not kept any more", http.StatusGone)
		return
	}
	if !rs.awaitCopy(rq) {
		refuse(w, nil)
		return
	}
	en, err := rs.encode(time.Now(), core.Revision(after))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	client := rq.FormValue(paramFrom)
	if len(en.body) < transferSize || client == "" {
		en.write(w)
		return
	}
	select {
	case rs.transfers <- struct{}{}:
		defer func() { <-rs.transfers }()
	default:
		refuse(w, rs.referrals(client))
		return
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(transferTimeout)) // Without one, a client that stops reading holds up others for longer.
	en.write(w)
	rs.addServed(client, en.revision)
}

// awaitCopy waits for the first copy for as long as the client is willing to.
func (rs *replicaServer) awaitCopy(rq *http.Request) bool {
	ms, err := strconv.Atoi(rq.FormValue(paramWait))
	if err != nil || ms < 0 {
		ms = 0
	}
	ti := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxCopyWait))
	defer ti.Stop()
	select {
	case <-rs.re.First():
		return true
	case <-ti.C:
	case <-rq.Context().Done():
	}
	return rs.re.Revision() != 0
}

func refuse(w http.ResponseWriter, peers []string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(busy{peers}) // The client detects a truncated response.
}

// referrals returns the clients that were served the current revision, other than the given one.
func (rs *replicaServer) referrals(client string) []string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.servedRevision != rs.re.Revision() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(rs.served), func(addr string) bool { return addr == client })
}

func (rs *replicaServer) addServed(client string, rev core.Revision) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rev > rs.servedRevision {
		rs.served, rs.servedRevision = nil, rev
	}
	if rev == rs.servedRevision && !slices.Contains(rs.served, client) {
		rs.served = append(rs.served, client)
		rs.served = rs.served[max(len(rs.served)-maxReferrals, 0):]
	}
}

// encode returns the response for clients at a revision. Many clients lag behind by the same change, and
// each of them would otherwise cost the compression of the whole configuration.
func (rs *replicaServer) encode(now time.Time, after core.Revision) (encoded, error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rev := rs.re.Revision()
	rs.encoded = slices.DeleteFunc(rs.encoded, func(en encoded) bool { return en.revision != rev || now.Sub(en.at) > encodedTTL })
	if at := slices.IndexFunc(rs.encoded, func(en encoded) bool { return en.after == after }); at >= 0 {
		return rs.encoded[at], nil
	}
	ms := updateSince(rs.re, after)
	ms.From, ms.Doubtful = rs.own, rs.doubtful()
	body, err := json.Marshal(ms)
	if err != nil {
		return encoded{}, err
	}
	en := encoded{after: after, revision: ms.Revision, at: now, body: body}
	if len(body) >= compressFrom {
		en.body, en.compressed = compress(body), true
	}
	rs.encoded = append(rs.encoded, en)
	rs.encoded = rs.encoded[max(len(rs.encoded)-maxEncoded, 0):]
	return en, nil
}

func compress(body []byte) []byte {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	_, _ = zw.Write(body) // A bytes.Buffer accepts all writes.
	_ = zw.Close()
	return buf.Bytes()
}

func (en encoded) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if en.compressed {
		w.Header().Set("Content-Encoding", "gzip")
	}
	_, _ = w.Write(en.body) // The client detects a truncated response.
}
