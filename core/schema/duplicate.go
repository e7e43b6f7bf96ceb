package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// duplicates reports fields that occur twice in one object.
//
// If two people add the same section to a file, a merge can keep both. JSON
// decoders silently use the last one, so the workspaces or withdrawals of the first
// would be lost although the file looks right.
func duplicates(text []byte) []Fault {
	wk := &walker{dec: json.NewDecoder(bytes.NewReader(text))}
	wk.value(nil)
	return wk.faults
}

// walker reads JSON tokens and records duplicate fields.
type walker struct {
	dec    *json.Decoder
	faults []Fault
}

// value reads one value. The text has already been parsed as valid JSON.
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
			wk.faults = append(wk.faults, Fault{Place: place(at), Reason: "is given twice, and only the last value would be used", Remedy: "merge the two"})
		}
		seen = append(seen, name)
		wk.value(at)
	}
	_, _ = wk.dec.Token()
}
