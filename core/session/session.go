// Package session keeps a caller's session on its versions.
//
// The versions that a session runs on travel in a token that the caller sends
// back, signed so that a caller cannot choose versions for itself. Any entry
// can honour it without shared state. For callers that send only the id of
// their session, two preferred entries of the region hold its versions.
//
// # Usage
//
//	kr := session.NewKeyring(secret)
//	tok := kr.Sign(session.Pin{Workspace: ws, Session: id, Versions: …})
//	pin, err := kr.Open(tok, ws)
//	ho := session.NewHolder()
//	ho.Keep(session.Key{Workspace: ws, Session: id}, versions, now)
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"

	"skylarkstand/core"
)

// Pin is what a token says.
type Pin struct {
	Workspace core.WorkspaceID `json:"workspace"`
	Session   core.SessionID   `json:"session"`
	Versions  Versions         `json:"versions"`
}

// ErrForged tells that a token is not ours, or another workspace's.
var ErrForged = errors.New("session: token is not valid here")

// Keyring signs and opens tokens. All entries share its secret.
type Keyring struct{ secret []byte }

// NewKeyring returns a keyring for a secret.
func NewKeyring(secret string) *Keyring { return &Keyring{secret: []byte(secret)} }

// Sign returns the token of a pin.
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

// Open checks a token and returns its pin.
func (kr *Keyring) Open(tok string, ws core.WorkspaceID) (Pin, error) {
	var pin Pin
	body, sig, ok := strings.Cut(tok, ".")
	if !ok {
		return pin, ErrForged
	}
	mac, err := base64.RawURLEncoding.DecodeString(sig)
	if err != nil || !hmac.Equal(mac, kr.mac(body)) {
		return pin, ErrForged
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil || json.Unmarshal(raw, &pin) != nil || pin.Workspace != ws {
		return Pin{}, ErrForged
	}
	return pin, nil
}

// Draw returns a session's place in a roll-out, from 0 to 1. It depends on the
// ids alone, so that every entry places a session alike.
func Draw(ws core.WorkspaceID, id core.SessionID) float64 {
	return float64(xxhash.Sum64String(string(ws)+"\x00"+string(id))) / math.MaxUint64
}
