package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/dispatch"
	"skylarkstand/core/routing"
	"skylarkstand/core/session"
)

// Headers of the API, in addition to the standard ones.
const (
	// HeaderSession identifies the caller's session; HeaderPin carries, in requests and
	// responses, the token that keeps it on its versions.
	HeaderSession = "Skylarkstand-Session"
	HeaderPin     = "Skylarkstand-Pin"
	// HeaderRepinned states that the session had to move to another version.
	HeaderRepinned = "Skylarkstand-Repinned"
	// HeaderVersion is the version that produced the response, as model@version.
	HeaderVersion = "Skylarkstand-Version"
	// HeaderDeadline is how long the caller waits for the response, such as "1.5s".
	HeaderDeadline = "Skylarkstand-Deadline"
	// HeaderRequest is the request's id. A caller may choose it, so that a request that it
	// sends again is billed once.
	HeaderRequest     = "X-Request-Id"
	headerIdempotency = "Idempotency-Key"
)

const (
	maxDeadline  = time.Hour
	maxKeyLength = 255
)

// authenticate returns the workspace whose key the request carries.
func (srv *Server) authenticate(rq *http.Request) (*declaration.Workspace, error) {
	sn := srv.inf.Current()
	if sn == nil {
		return nil, core.Refuse(core.CodeNoConfig, time.Second, "no configuration is known yet")
	}
	key, ok := strings.CutPrefix(rq.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, core.Refuse(core.CodeUnauthorized, 0, "send the workspace's key as Authorization: Bearer KEY")
	}
	ws := sn.ByKey(key)
	if ws == nil {
		return nil, core.Refuse(core.CodeUnauthorized, 0, "no workspace has this key")
	}
	return ws, nil
}

func (srv *Server) readBody(w http.ResponseWriter, rq *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, rq.Body, srv.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, core.Refuse(core.CodeTooLarge, 0, "the body is larger than %d bytes", srv.maxBody)
	}
	if err != nil {
		return nil, core.Refuse(core.CodeBadRequest, 0, "the body could not be read")
	}
	return body, nil
}

// chatBody holds the fields of a chat request that the router reads; the engine receives the
// body unchanged.
type chatBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// parseCommon reads what chat requests and service calls share.
func (srv *Server) parseCommon(w http.ResponseWriter, rq *http.Request, id core.RequestID) (*declaration.Workspace, *dispatch.Request, error) {
	ws, err := srv.authenticate(rq)
	if err != nil {
		return nil, nil, err
	}
	limit, err := parseDeadline(rq)
	if err != nil {
		return nil, nil, err
	}
	pr, err := parsePriority(rq)
	if err != nil {
		return nil, nil, err
	}
	body, err := srv.readBody(w, rq)
	if err != nil {
		return nil, nil, err
	}
	return ws, &dispatch.Request{ID: id, Workspace: ws.ID, Deadline: limit, Priority: int(pr), Body: body}, nil
}

func parseDeadline(rq *http.Request) (time.Duration, error) {
	text := rq.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDeadline {
		return 0, core.Refuse(core.CodeBadRequest, 0, `the header %s must be a time such as "1.5s", up to %s`, HeaderDeadline, maxDeadline)
	}
	return d, nil
}

// requestID returns the caller's id if it is usable, and a new one otherwise.
func requestID(rq *http.Request) core.RequestID {
	id := rq.Header.Get(HeaderRequest)
	if id == "" || len(id) > maxKeyLength || strings.ContainsFunc(id, func(r rune) bool { return r < '!' || r > '~' }) {
		return core.RequestID(core.NewID())
	}
	return core.RequestID(id)
}

func parseChat(dr *dispatch.Request) error {
	var cb chatBody
	if err := json.Unmarshal(dr.Body, &cb); err != nil {
		return core.Refuse(core.CodeBadRequest, 0, "the body is not JSON of a chat request")
	}
	if cb.Model == "" {
		return core.Refuse(core.CodeBadRequest, 0, `the body has no "model"; name a cascade or a model`)
	}
	if len(bytes.TrimSpace(cb.Messages)) == 0 || bytes.TrimSpace(cb.Messages)[0] != '[' {
		return core.Refuse(core.CodeBadRequest, 0, `the body has no list "messages"`)
	}
	dr.Model, dr.Stream, dr.Prompt = cb.Model, cb.Stream, cb.Messages
	return nil
}

// readSession reads the session of a request. An invalid token is refused rather than ignored:
// the caller relies on its session staying on its versions.
func (srv *Server) readSession(rq *http.Request, ws core.WorkspaceID, id core.RequestID) (session.Pin, routing.Session, error) {
	pin := session.Pin{Workspace: ws, Session: core.SessionID(rq.Header.Get(HeaderSession))}
	if tok := rq.Header.Get(HeaderPin); tok != "" {
		opened, err := srv.keys.Verify(tok, ws)
		if err != nil {
			return pin, routing.Session{}, core.Refuse(core.CodeBadRequest, 0, "the header %s is not a token of this workspace", HeaderPin)
		}
		pin = opened
	}
	switch {
	case pin.Session == "":
		pin.Session = core.SessionID(id)
	case pin.Versions == nil:
		pin.Versions = srv.sessions.Find(rq.Context(), session.Key{Workspace: ws, Session: pin.Session})
	}
	fraction := func(mv core.ModelVersion) float64 { return session.Fraction(ws, pin.Session, mv) }
	return pin, routing.Session{Pins: pin.Versions, Fraction: fraction, Stale: !srv.inf.Fresh(time.Now(), srv.maxConfigAge)}, nil
}
