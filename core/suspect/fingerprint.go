package suspect

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// Fingerprint is a hash that identifies requests of the same workspace with the same content.
type Fingerprint uint64

// String returns the fingerprint as it is shown in logs.
func (fp Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(fp)) }

// ParseFingerprint returns the fingerprint of which String returns the text.
func ParseFingerprint(text string) (Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(n), eris.Wrapf(err, "%q is no fingerprint", text)
}

// FingerprintOf returns the fingerprint of an attempt, by its model (or service and operation) and
// body. It excludes the version, since a body that crashes one version mostly crashes the next.
func FingerprintOf(at *core.Attempt) Fingerprint {
	return newFingerprint(at.Body, string(at.Workspace), string(at.Target.Model), string(at.Service), string(at.Operation))
}

// FingerprintOfExchange returns the fingerprint of an exchange of a workspace, by its method, host,
// target and body. It excludes the headers, in which the times and ids of retries differ.
func FingerprintOfExchange(ws core.WorkspaceID, ex *core.Exchange) Fingerprint {
	return newFingerprint(ex.Body, string(ws), ex.Method, ex.Host, ex.Target)
}

func newFingerprint(body []byte, parts ...string) Fingerprint {
	var dig xxhash.Digest
	dig.Reset()
	for _, part := range parts {
		_, _ = dig.WriteString(part)
		_, _ = dig.WriteString("\x00")
	}
	_, _ = dig.Write(body)
	return Fingerprint(dig.Sum64())
}
