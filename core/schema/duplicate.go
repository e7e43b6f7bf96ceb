package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// duplicates finds fields that stand twice in one object.
//
// Two people add the same section to one file, and a merge keeps both. JSON
// readers take the last without a word: the first one's workspaces or
// withdrawals would be gone, and the file still looks right.
func duplicates(text []byte) []Fault {
	wk := &walker{dec: json.NewDecoder(bytes.NewReader(text))}
	wk.value(nil)
	return wk.faults
}

type walker struct {
	dec    *json.Decoder
	faults []Fault
}

// value reads one value. The text is known to be JSON.
func (wk *walker) value(path []string) {
	tok, err := wk.dec.Token()
	if err != nil {
		return
	}
	switch tok {
	case json.Delim('{'):
		wk.object(path)
	case json.Delim('['):
		for i := 0; wk.dec.More(); i++ {
			wk.value(append(slices.Clip(path), strconv.Itoa(i)))
		}
		_, _ = wk.dec.Token()
	}
}

func (wk *walker) object(path []string) {
	var seen []string
	for wk.dec.More() {
		tok, err := wk.dec.Token()
		if err != nil {
			return
		}
		name := fmt.Sprint(tok)
		at := append(slices.Clip(path), name)
		if slices.Contains(seen, name) {
			wk.faults = append(wk.faults, Fault{Place: place(at), Reason: "stands twice, and only the last would count", Remedy: "merge the two"})
		}
		seen = append(seen, name)
		wk.value(at)
	}
	_, _ = wk.dec.Token()
}
