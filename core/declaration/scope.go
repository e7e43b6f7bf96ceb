package declaration

import (
	"cmp"
	"encoding/json"
	"slices"
)

// Scope is a part of a document that can be changed independently of the others:
// a workspace, a cascade, a service, a zone, or a model with its versions,
// roll-out and withdrawals. Two changes of one scope, such as a roll-out and a
// withdrawal of one model, must be reviewed together.
type Scope struct {
	Kind Kind
	Name string
}

// Kind is the kind of entry that a scope covers.
type Kind string

// The kinds of scopes.
const (
	ModelScope     Kind = "model"
	ServiceScope   Kind = "service"
	CascadeScope   Kind = "cascade"
	WorkspaceScope Kind = "workspace"
	ZoneScope      Kind = "zone"
)

// String returns the kind and the name, such as "workspace schools".
func (sc Scope) String() string { return string(sc.Kind) + " " + sc.Name }

// part is the content of a document in one scope, in a form that can be compared.
type part struct {
	Model       *Model            `json:"model,omitempty"`
	Service     *Service          `json:"service,omitempty"`
	Cascade     *Cascade          `json:"cascade,omitempty"`
	Workspace   *Workspace        `json:"workspace,omitempty"`
	Zone        *AvailabilityZone `json:"zone,omitempty"`
	RollOuts    []RollOut         `json:"roll-outs,omitempty"`
	Withdrawals []Withdrawal      `json:"withdrawals,omitempty"`
}

func (pa *part) equal(other *part) bool { return encoded(pa) == encoded(other) }

func encoded(el any) string {
	raw, err := json.Marshal(el)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// parts is a document split by scope. Order lists the scopes in document order.
type parts struct {
	order   []Scope
	byScope map[Scope]*part
}

// getOrAdd returns the part of a scope and adds an empty one if there is none.
func (ps *parts) getOrAdd(sc Scope) *part {
	if pa := ps.byScope[sc]; pa != nil {
		return pa
	}
	pa := new(part)
	ps.byScope[sc] = pa
	ps.order = append(ps.order, sc)
	return pa
}

// get returns the part of a scope, or an empty one if the document has none.
func (ps *parts) get(sc Scope) *part {
	if pa := ps.byScope[sc]; pa != nil {
		return pa
	}
	return new(part)
}

func (doc *Document) parts() *parts {
	ps := &parts{byScope: map[Scope]*part{}}
	for i := range doc.Models {
		ps.getOrAdd(Scope{ModelScope, string(doc.Models[i].ID)}).Model = &doc.Models[i]
	}
	for i := range doc.Services {
		ps.getOrAdd(Scope{ServiceScope, string(doc.Services[i].ID)}).Service = &doc.Services[i]
	}
	for i := range doc.Cascades {
		ps.getOrAdd(Scope{CascadeScope, string(doc.Cascades[i].ID)}).Cascade = &doc.Cascades[i]
	}
	for i := range doc.Workspaces {
		ps.getOrAdd(Scope{WorkspaceScope, string(doc.Workspaces[i].ID)}).Workspace = &doc.Workspaces[i]
	}
	for i := range doc.Zones {
		ps.getOrAdd(Scope{ZoneScope, string(doc.Zones[i].ID)}).Zone = &doc.Zones[i]
	}
	for _, ro := range doc.RollOuts {
		pa := ps.getOrAdd(Scope{ModelScope, string(ro.Model)})
		pa.RollOuts = append(pa.RollOuts, ro)
	}
	for _, wd := range doc.Withdrawals {
		pa := ps.getOrAdd(Scope{ModelScope, string(wd.Model)})
		pa.Withdrawals = append(pa.Withdrawals, wd)
	}
	return ps
}

// ChangedScopes lists the scopes in which two documents differ, ordered by kind and
// name.
func ChangedScopes(from, to *Document) []Scope {
	old, now := from.parts(), to.parts()
	var out []Scope
	for _, sc := range now.order {
		if !now.get(sc).equal(old.get(sc)) {
			out = append(out, sc)
		}
	}
	for _, sc := range old.order {
		if now.byScope[sc] == nil {
			out = append(out, sc)
		}
	}
	slices.SortFunc(out, func(a, b Scope) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	return out
}
