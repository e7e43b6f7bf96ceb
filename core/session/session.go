// Package session keeps the requests of a caller's session on the same model versions.
//
// The versions that a session runs on are carried in a token that the caller sends back. It is
// signed so that a caller cannot choose versions, and any entry can verify it without shared state.
// For callers that send only the id of their session, two preferred entries of the region store its
// versions.
//
// # Usage
//
//	kr := session.NewKeyring(secret)
//	tok := kr.Sign(session.Pin{Workspace: ws, Session: id, Versions: …})
//	pin, err := kr.Verify(tok, ws)
//	ho := session.NewHolder()
//	ho.Record(session.Key{Workspace: ws, Session: id}, versions, now)
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"

	"skylarkstand/core"
	"skylarkstand/core/sample"
)

// Pin is the content of a token.
type Pin struct {
	Workspace core.WorkspaceID `json:"workspace"`
	Session   core.SessionID   `json:"session"`
	Versions  Versions         `json:"versions"`
}

// ErrInvalidToken reports that a token was not signed with this keyring's secret, or is of another
// workspace.
var ErrInvalidToken = errors.New("session: token was not signed with this secret or belongs to another workspace")

// Keyring signs and verifies tokens. All entries share its secret.
type Keyring struct{ secret []byte }

// NewKeyring returns a keyring for a secret.
func NewKeyring(secret string) *Keyring { return &Keyring{secret: []byte(secret)} }

// Sign returns the signed token of a pin.
func (kr *Keyring) Sign(pin Pin) string {
	raw, err := json.Marshal(pin)
	if err != nil {
		return ""
	}
	body := base64.RawURLEncoding.EncodeToString(raw)
	return body + "." + base64.RawURLEncoding.EncodeToString(kr.mac(body))
}

func (kr *Keyring) mac(body string) []byte {
	ma := hmac.New(sha256.New, kr.secret)
	ma.Write([]byte(body))
	return ma.Sum(nil)
}

// Verify verifies a token and returns its pin.
func (kr *Keyring) Verify(tok string, ws core.WorkspaceID) (Pin, error) {
	var pin Pin
	body, sig, ok := strings.Cut(tok, ".")
	if !ok {
		return pin, ErrInvalidToken
	}
	mac, err := base64.RawURLEncoding.DecodeString(sig)
	if err != nil || !hmac.Equal(mac, kr.mac(body)) {
		return pin, ErrInvalidToken
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil || json.Unmarshal(raw, &pin) != nil || pin.Workspace != ws {
		return Pin{}, ErrInvalidToken
	}
	return pin, nil
}

// Fraction maps a session to a number from 0 to 1 that determines whether it is part of a version's roll-out.
// It depends on the ids alone, so that every entry treats a session alike.
func Fraction(ws core.WorkspaceID, id core.SessionID, mv core.ModelVersion) float64 {
	return sample.Fraction(sample.ModelRollOut, string(ws), string(mv.Model), string(mv.Version), string(id))
}
