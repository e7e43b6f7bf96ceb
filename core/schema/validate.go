// Package schema validates settings and configuration files against the generated
// JSON schemas and reports all faults at once, each with its place, reason and
// remedy.
//
// # Usage
//
//	faults, err := schema.Validate(schema.Entry, raw)   // raw is standard JSON, without comments
//	page, err := schema.Page()                          // the text of docs/CONFIG.md
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"skylarkstand/core/suggest"
	files "skylarkstand/docs/schema"
)

// Kind is the name of a schema.
type Kind string

// The kinds of files that have a schema.
const (
	Entry         Kind = "entry"
	Agent         Kind = "agent"
	Configuration Kind = "configuration"
	Load          Kind = "load"
)

// Fault is one breach of a schema.
type Fault struct {
	// Place is the path to the value, such as "workspaces[0].share", Reason is
	// what is wrong with it, and Remedy how to correct it.
	Place, Reason, Remedy string
	// WrongType reports that the value has a different type than the schema requires,
	// so that its decoded form is meaningless.
	WrongType bool
}

// String returns the fault as one line of text.
func (fa Fault) String() string { return fa.Place + ": " + fa.Reason + "; " + fa.Remedy }

// Validate returns the faults of a text in standard JSON, ordered by place. The
// error is for a text that is not JSON or for an invalid embedded schema.
func Validate(kd Kind, text []byte) ([]Fault, error) {
	val, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, eris.Wrap(err, "parse the text as JSON")
	}
	ck, err := compile(kd)
	if err != nil {
		return nil, err
	}
	out := duplicates(text)
	err = ck.schema.Validate(val)
	var ve *jsonschema.ValidationError
	switch {
	case errors.As(err, &ve):
		out = ck.explain(out, ve)
	case err != nil:
		return nil, eris.Wrapf(err, "validate against the schema %q", kd)
	}
	slices.SortFunc(out, func(a, b Fault) int { return strings.Compare(a.Place, b.Place) })
	return out, nil
}

// checker validates against one schema. Raw is the schema's source, used to explain
// faults.
type checker struct {
	schema *jsonschema.Schema
	raw    object
}

// object is the part of a schema that explanations and the reference need.
type object struct {
	Title       string            `json:"title"`
	Description string            `json:"description"`
	Type        string            `json:"type"`
	Default     json.RawMessage   `json:"default"`
	Ref         string            `json:"$ref"`
	Items       *object           `json:"items"`
	Properties  json.RawMessage   `json:"properties"`
	Required    []string          `json:"required"`
	Minimum     json.RawMessage   `json:"minimum"`
	Defs        map[string]object `json:"$defs"`
}

func compile(kd Kind) (*checker, error) {
	raw, err := files.Files.ReadFile(string(kd) + ".json")
	if err != nil {
		return nil, eris.Wrapf(err, "load the schema %q", kd)
	}
	val, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrapf(err, "load the schema %q", kd)
	}
	ck := new(checker)
	if err := json.Unmarshal(raw, &ck.raw); err != nil {
		return nil, eris.Wrapf(err, "load the schema %q", kd)
	}
	cp := jsonschema.NewCompiler()
	if err := cp.AddResource(string(kd), val); err != nil {
		return nil, eris.Wrapf(err, "load the schema %q", kd)
	}
	ck.schema, err = cp.Compile(string(kd))
	return ck, eris.Wrapf(err, "load the schema %q", kd)
}

// explain appends a fault for each leaf of an error tree.
func (ck *checker) explain(out []Fault, ve *jsonschema.ValidationError) []Fault {
	for _, ca := range ve.Causes {
		out = ck.explain(out, ca)
	}
	at := place(ve.InstanceLocation)
	switch ki := ve.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range ki.Properties {
			out = append(out, Fault{Place: place(append(ve.InstanceLocation, name)), Reason: "there is no such field", Remedy: ck.remedy(ve.SchemaURL, name)})
		}
	case *kind.Required:
		for _, name := range ki.Missing {
			out = append(out, Fault{Place: place(append(ve.InstanceLocation, name)), Reason: "is missing", Remedy: "set it"})
		}
	case *kind.Type:
		out = append(out, Fault{at, fmt.Sprintf("is %s, not %s", ki.Got, strings.Join(ki.Want, " or ")), "write " + typeHint(ki.Want), true})
	case *kind.Minimum:
		out = append(out, Fault{at, ki.Got.RatString() + " is too small", "give at least " + ki.Want.RatString(), false})
	case *kind.ExclusiveMinimum:
		out = append(out, Fault{at, ki.Got.RatString() + " is too small", "give more than " + ki.Want.RatString(), false})
	case *kind.MinItems:
		out = append(out, Fault{at, "the list is too short", fmt.Sprintf("give at least %d", ki.Want), false})
	case *kind.MinLength:
		out = append(out, Fault{at, "the text is too short", fmt.Sprintf("give at least %d characters, or leave it out", ki.Want), false})
	case *kind.Maximum:
		out = append(out, Fault{at, ki.Got.RatString() + " is too large", "give at most " + ki.Want.RatString(), false})
	case *kind.Enum:
		out = append(out, Fault{at, fmt.Sprintf("%q is not known", fmt.Sprint(ki.Got)), fmt.Sprintf("choose one of %v", ki.Want), false})
	case *kind.Pattern:
		out = append(out, Fault{at, fmt.Sprintf("%q is no time", ki.Got), `write a number with its unit, such as "1.5s"`, true})
	case *kind.Schema, *kind.Reference, *kind.Group, *kind.AllOf:
	default:
		if len(ve.Causes) == 0 {
			out = append(out, Fault{at, fmt.Sprintf("breaks the rule %v", ve.ErrorKind.KeywordPath()), "see docs/CONFIG.md", false})
		}
	}
	return out
}

// place formats a path such as "workspaces[0].share".
func place(path []string) string {
	var sb strings.Builder
	for _, el := range path {
		if _, err := strconv.Atoi(el); err == nil {
			fmt.Fprintf(&sb, "[%s]", el)
			continue
		}
		if sb.Len() > 0 {
			sb.WriteByte('.')
		}
		sb.WriteString(el)
	}
	if sb.Len() == 0 {
		return "the file"
	}
	return sb.String()
}

// typeHint describes how to write a value of the wanted type.
func typeHint(want []string) string {
	if len(want) == 0 {
		return "another value"
	}
	switch want[0] {
	case "string":
		return `text in quotes`
	case "integer":
		return "a whole number without quotes"
	case "number":
		return "a number without quotes"
	case "boolean":
		return "true or false"
	case "array":
		return "a list in [ ]"
	}
	return "an object in { }"
}

// remedy suggests the known field that is most similar to name, or lists all known
// fields of the object.
func (ck *checker) remedy(url, name string) string {
	ob := ck.raw
	if _, def, ok := strings.Cut(url, "#/$defs/"); ok {
		ob = ck.raw.Defs[def]
	}
	known := ob.names()
	if near, ok := suggest.Nearest(name, known); ok {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return "known fields: " + strings.Join(known, ", ")
}

// names lists the fields of an object in schema order.
func (ob object) names() []string {
	var out []string
	for _, fi := range ob.fields() {
		out = append(out, fi.name)
	}
	return out
}
