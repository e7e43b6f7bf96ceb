package declaration

import "fmt"

// Source is a document with the name of the file that it came from.
type Source struct {
	Name     string
	Document Document
}

// Join puts documents together that were written in several files, such as one
// a team. A thing that two of them declare is a mistake that names both files:
// of two entries only one would count, and neither team would know which.
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
