// Package suggest suggests the known name that is most similar to a mistyped one.
//
// # Usage
//
//	near, ok := suggest.Nearest("draftr", []string{"desk", "drafter"})   // "drafter", true
package suggest

// A known name is suggested if its edit distance is at most
// max(baseEdits, length/lengthPerEdit), where length is that of the mistyped name in
// bytes, and less than the known name's own length. More distant suggestions would
// mislead: an operator who follows one could allow the wrong version.
const (
	baseEdits     = 2
	lengthPerEdit = 3
)

// Nearest returns the known name with the fewest edits from name. It reports false
// if no name is similar enough. Name itself is not a suggestion.
func Nearest(name string, known []string) (string, bool) {
	best, least := "", max(baseEdits, len(name)/lengthPerEdit)+1
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

// distance returns the Levenshtein distance in bytes.
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
