package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"skylarkstand/core"
)

// Key identifies an operation that may run at most once.
type Key struct {
	Workspace core.WorkspaceID
	Service   core.ServiceID
	Operation core.OperationID
	// Idempotency is the idempotency key that the caller sent.
	Idempotency string
}

// canonicalText encodes the whole key unambiguously: no two keys have the same text.
func (ke Key) canonicalText() string {
	return fmt.Sprintf("%q/%q/%q/%q", ke.Workspace, ke.Service, ke.Operation, ke.Idempotency)
}

// Bucket returns the number of the key's bucket, from 0 to Buckets-1. Entries
// use it to send the keys of one bucket to one agent.
func (ke Key) Bucket() int { return int(xxhash.Sum64String(ke.canonicalText()) % Buckets) }

// path is the key of a bucket in the store.
type path string

func (ke Key) path() path { return path(fmt.Sprintf("claims/%s/%d", ke.Service, ke.Bucket())) }

// fingerprint identifies a key within its bucket. A collision would make two operations share one
// claim, so it is a cryptographic hash of 128 bits.
type fingerprint [16]byte

func (ke Key) fingerprint() fingerprint {
	sum := sha256.Sum256([]byte(ke.canonicalText()))
	return fingerprint(sum[:16])
}

// MarshalText implements [encoding.TextMarshaler].
func (fp fingerprint) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, fp[:]), nil
}

// UnmarshalText implements [encoding.TextUnmarshaler].
func (fp *fingerprint) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err == nil && len(raw) != len(fp) {
		err = errFingerprint
	}
	copy(fp[:], raw)
	return err
}

var errFingerprint = errors.New("claim: fingerprint does not decode to 16 bytes")

// creationTime returns the timestamp of a UUIDv7 key, and false for any other key.
func (ke Key) creationTime() (time.Time, bool) {
	id, err := uuid.Parse(ke.Idempotency)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16)), true
}
