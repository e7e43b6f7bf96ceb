package declare

import (
	"slices"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Digest is the SHA-256 digest of a workspace's key. It is not a string type, so that
// the key itself cannot be passed by mistake.
type Digest struct{ hex string }

// DigestOf returns a digest from its form of 64 lower-case hex characters, the output
// of: printf %s "$KEY" | sha256sum. It does not compute the digest of a key, and checks
// nothing: [Configuration.Print] reports a text of another form.
func DigestOf(hex string) Digest { return Digest{hex} }

// Terms are a workspace's share of capacity, its targets and its limit.
type Terms struct {
	// Share is the workspace's weight when capacity is divided under overload, at
	// least 1.
	Share int
	// Quality is the target quality for cascades, from 0 to 1.
	Quality core.Quality
	// LatencyPrice is the cost of one second of latency to the workspace, in
	// thousandths of a cent.
	LatencyPrice core.Millicents
	// Limit is the maximum number of concurrent requests; 0 means no limit.
	Limit int
}

// Workspace is a handle to a declared workspace.
type Workspace struct{ ws declaration.Workspace }

// Workspace declares a workspace with the digests of its keys, of which there is at
// least one. It may not use anything until Allow or Services is called.
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

// Allow permits the workspace's requests to run on versions of one or several models.
// It returns the workspace.
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

// Cascades permits the workspace to request cascades. It must also be allowed a version
// of each stage. Cascades returns the workspace.
func (ws *Workspace) Cascades(cas ...Cascade) *Workspace {
	for _, ca := range cas {
		ws.ws.Cascades = append(ws.ws.Cascades, ca.id)
	}
	return ws
}

// Services permits the workspace to call plain services. It returns the workspace.
func (ws *Workspace) Services(svs ...*Service) *Workspace {
	for _, sv := range svs {
		ws.ws.Services = append(ws.ws.Services, sv.sv.ID)
	}
	return ws
}
