package declare

import (
	"slices"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Digest is the SHA-256 digest of a workspace's key. It is no text, so that
// the key itself cannot be written in its place.
type Digest struct{ hex string }

// DigestOf takes a digest in hex, the output of: printf %s "$KEY" | sha256sum.
func DigestOf(hex string) Digest { return Digest{hex} }

// Terms are a workspace's share, targets and limit.
type Terms struct {
	// Share is the weight of the workspace when there is too much work.
	Share int
	// Quality is the target for cascades, from 0 to 1.
	Quality core.Quality
	// LatencyPrice is what a second of waiting is worth to the workspace.
	LatencyPrice core.Millicents
	// Limit bounds the requests in the system at once; 0 sets none.
	Limit int
}

// Workspace is a declared workspace.
type Workspace struct{ ws declaration.Workspace }

// Workspace declares a workspace with its key. It may use nothing yet.
func (cf *Configuration) Workspace(id core.WorkspaceID, te Terms, key Digest, more ...Digest) *Workspace {
	ws := &Workspace{declaration.Workspace{
		ID: id, KeyHashes: []string{key.hex}, Share: te.Share, Quality: te.Quality, LatencyPrice: te.LatencyPrice, Limit: te.Limit,
	}}
	for _, di := range more {
		ws.ws.KeyHashes = append(ws.ws.KeyHashes, di.hex)
	}
	cf.workspaces = append(cf.workspaces, ws)
	return ws
}

// Allow lets the workspace's requests run on versions, of one model or several.
func (ws *Workspace) Allow(res ...Release) *Workspace {
	for _, re := range res {
		i := slices.IndexFunc(ws.ws.Allow, func(al declaration.Allow) bool { return al.Model == re.model.mo.ID })
		if i < 0 {
			i = len(ws.ws.Allow)
			ws.ws.Allow = append(ws.ws.Allow, declaration.Allow{Model: re.model.mo.ID})
		}
		ws.ws.Allow[i].Versions = append(ws.ws.Allow[i].Versions, re.id)
	}
	return ws
}

// Cascades lets the workspace ask for cascades.
func (ws *Workspace) Cascades(cas ...Cascade) *Workspace {
	for _, ca := range cas {
		ws.ws.Cascades = append(ws.ws.Cascades, ca.id)
	}
	return ws
}

// Services lets the workspace call plain services.
func (ws *Workspace) Services(svs ...*Service) *Workspace {
	for _, sv := range svs {
		ws.ws.Services = append(ws.ws.Services, sv.sv.ID)
	}
	return ws
}
