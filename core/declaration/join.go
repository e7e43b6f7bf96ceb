package declaration

import "fmt"

// Source is a document with the name of its file.
type Source struct {
	Name     string
	Document Document
}

// Join combines documents from several files, such as one per team. A scope that
// is declared in two files is a [DuplicateName] mistake that names both: only one
// of the two entries would take effect, and neither team would know which.
func Join(sources []Source) (Document, error) {
	var out Document
	fi := &findings{}
	owner := map[Scope]string{}
	for _, so := range sources {
		doc := so.Document
		ps := doc.parts()
		for _, sc := range ps.order {
			if !ps.get(sc).declared() {
				continue
			}
			if other, taken := owner[sc]; taken && other != so.Name {
				fi.add(DuplicateName, sc.String(), fmt.Sprintf("it is declared in %s and in %s", other, so.Name), "keep it in one of the two")
			}
			owner[sc] = so.Name
		}
		out.Models = append(out.Models, doc.Models...)
		out.Services = append(out.Services, doc.Services...)
		out.Cascades = append(out.Cascades, doc.Cascades...)
		out.Zones = append(out.Zones, doc.Zones...)
		out.Workspaces = append(out.Workspaces, doc.Workspaces...)
		out.RollOuts = append(out.RollOuts, doc.RollOuts...)
		out.Withdrawals = append(out.Withdrawals, doc.Withdrawals...)
		out.AcceptRisks = append(out.AcceptRisks, doc.AcceptRisks...)
	}
	return out, fi.mistakes.err()
}
