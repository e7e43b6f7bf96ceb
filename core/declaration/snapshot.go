package declaration

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"skylarkstand/core"
)

// Snapshot is a generation with indexes for lookups on the request path. It is
// immutable and may be shared by all goroutines of a process.
type Snapshot struct {
	Number core.Generation
	Doc    *Document
	// Raw is the encoded generation, as it is sent to peers. It is nil for a
	// snapshot that is made only to check a document.
	Raw []byte

	byKey      map[string]*Workspace
	workspaces map[core.WorkspaceID]*Workspace
	models     map[core.ModelID]*Model
	versions   map[core.ModelVersion]*Version
	cascades   map[core.CascadeID]*Cascade
	operations map[operationKey]*Operation
	withdrawn  map[core.ModelVersion]string
	allowed    map[allowKey]bool
	services   map[serviceKey]bool
	rollouts   map[core.ModelID]*RollOut
	evacuated  map[core.Zone]bool
	regions    map[core.WorkspaceID]core.Regions
}

type (
	operationKey struct {
		service   core.ServiceID
		operation core.OperationID
	}
	allowKey struct {
		workspace core.WorkspaceID
		target    core.ModelVersion
	}
	serviceKey struct {
		workspace core.WorkspaceID
		service   core.ServiceID
	}
)

// NewSnapshot indexes a generation, which must not be modified afterwards. Raw
// is its encoded form, or nil.
func NewSnapshot(gen *Generation, raw []byte) *Snapshot {
	doc := &gen.Document
	sn := &Snapshot{
		Number: gen.Number, Doc: doc, Raw: raw,
		byKey:      map[string]*Workspace{},
		workspaces: map[core.WorkspaceID]*Workspace{},
		models:     map[core.ModelID]*Model{},
		versions:   map[core.ModelVersion]*Version{},
		cascades:   map[core.CascadeID]*Cascade{},
		operations: map[operationKey]*Operation{},
		withdrawn:  map[core.ModelVersion]string{},
		allowed:    map[allowKey]bool{},
		services:   map[serviceKey]bool{},
		rollouts:   map[core.ModelID]*RollOut{},
		evacuated:  map[core.Zone]bool{},
		regions:    map[core.WorkspaceID]core.Regions{},
	}
	for _, zo := range doc.Zones {
		sn.evacuated[zo.ID] = zo.Evacuated != ""
	}
	for i := range doc.Models {
		mo := &doc.Models[i]
		sn.models[mo.ID] = mo
		for j := range mo.Versions {
			sn.versions[core.ModelVersion{Model: mo.ID, Version: mo.Versions[j].ID}] = &mo.Versions[j]
		}
	}
	for i := range doc.Services {
		sv := &doc.Services[i]
		for j := range sv.Operations {
			sn.operations[operationKey{sv.ID, sv.Operations[j].ID}] = &sv.Operations[j]
		}
	}
	for i := range doc.Cascades {
		sn.cascades[doc.Cascades[i].ID] = &doc.Cascades[i]
	}
	for i := range doc.RollOuts {
		sn.rollouts[doc.RollOuts[i].Model] = &doc.RollOuts[i]
	}
	for _, wd := range doc.Withdrawals {
		sn.withdrawn[core.ModelVersion{Model: wd.Model, Version: wd.Version}] = wd.Reason
	}
	for i := range doc.Workspaces {
		sn.indexWorkspace(&doc.Workspaces[i])
	}
	return sn
}

func (sn *Snapshot) indexWorkspace(ws *Workspace) {
	sn.workspaces[ws.ID] = ws
	sn.regions[ws.ID] = core.OnlyRegions(ws.Regions...)
	for _, hash := range ws.KeyHashes {
		sn.byKey[hash] = ws
	}
	for _, al := range ws.Allow {
		for _, ve := range al.Versions {
			sn.allowed[allowKey{ws.ID, core.ModelVersion{Model: al.Model, Version: ve}}] = true
		}
	}
	for _, sv := range ws.Services {
		sn.services[serviceKey{ws.ID, sv}] = true
	}
}

// HashKey returns the SHA-256 digest of a workspace key in lower-case hex, the
// form that a document contains.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ByKey returns the workspace that a caller's key authenticates, or nil.
func (sn *Snapshot) ByKey(key string) *Workspace { return sn.byKey[HashKey(key)] }

// Workspace returns a workspace, or nil.
func (sn *Snapshot) Workspace(id core.WorkspaceID) *Workspace { return sn.workspaces[id] }

// Model returns a model, or nil.
func (sn *Snapshot) Model(id core.ModelID) *Model { return sn.models[id] }

// Version returns a version of a model, or nil.
func (sn *Snapshot) Version(mv core.ModelVersion) *Version { return sn.versions[mv] }

// Cascade returns a cascade, or nil.
func (sn *Snapshot) Cascade(id core.CascadeID) *Cascade { return sn.cascades[id] }

// Operation returns an operation of a plain service, or nil.
func (sn *Snapshot) Operation(sv core.ServiceID, op core.OperationID) *Operation {
	return sn.operations[operationKey{sv, op}]
}

// RollOut returns the declared roll-out of a model, halted or not, or nil.
func (sn *Snapshot) RollOut(id core.ModelID) *RollOut { return sn.rollouts[id] }

// Withdrawn reports whether a version is withdrawn.
func (sn *Snapshot) Withdrawn(mv core.ModelVersion) bool {
	_, gone := sn.withdrawn[mv]
	return gone
}

// MayRun reports whether new work of a workspace may run on a version: the
// version is declared, allowed for the workspace and not withdrawn.
func (sn *Snapshot) MayRun(ws core.WorkspaceID, mv core.ModelVersion) bool {
	return sn.allowed[allowKey{ws, mv}] && sn.versions[mv] != nil && !sn.Withdrawn(mv)
}

// MayCall reports whether a workspace may call a plain service.
func (sn *Snapshot) MayCall(ws core.WorkspaceID, sv core.ServiceID) bool {
	return sn.services[serviceKey{ws, sv}]
}

// MayCascade reports whether a workspace may use a cascade.
func (sn *Snapshot) MayCascade(ws core.WorkspaceID, id core.CascadeID) bool {
	own := sn.workspaces[ws]
	return own != nil && slices.Contains(own.Cascades, id)
}
