// Package spelling finds the known name that a mistyped one most likely meant.
//
// # Usage
//
//	near, ok := spelling.Nearest("draftr", []string{"desk", "drafter"})   // "drafter", true
package spelling

// A name is taken for a typing mistake of another when fewer than one in
// minShare of its letters, and at least minEdits, would have to change. More
// distant names mislead: an operator who trusts the hint would allow a version
// that was never meant.
const (
	minEdits = 2
	minShare = 3
)

// Nearest returns the known name with the fewest edits to name. It reports
// false when none is near enough.
func Nearest(name string, known []string) (string, bool) {
	best, least := "", max(minEdits, len(name)/minShare)+1
	for _, kn := range known {
		if kn == name {
			continue
		}
		if d := distance(name, kn); d < least && d < len(kn) {
			best, least = kn, d
		}
	}
	return best, best != ""
}

// distance is the Levenshtein distance in bytes.
func distance(from, to string) int {
	row := make([]int, len(to)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(from) {
		diag := row[0]
		row[0] = i + 1
		for j := range len(to) {
			cost := diag
			if from[i] != to[j] {
				cost++
			}
			diag = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(to)]
}
