package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// field is a property of an object with its name.
type field struct {
	name string
	object
}

// fields decodes the properties in schema order, which a Go map would not preserve.
func (ob object) fields() []field {
	dec := json.NewDecoder(bytes.NewReader(ob.Properties))
	if _, err := dec.Token(); err != nil {
		return nil
	}
	var out []field
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return out
		}
		fi := field{name: fmt.Sprint(tok)}
		if dec.Decode(&fi.object) != nil {
			return out
		}
		out = append(out, fi)
	}
	return out
}

const intro = `# Settings and configuration

Generated from the schemas in [docs/schema](schema) by ` + "`skylarkstand reference config`" + `.
All files are JSON with comments; a trailing comma is allowed. Unknown fields
are refused. A field without a default that is marked with * must be given.

Settings belong to one process and are read at its start. The configuration is
shared by all processes, lives in the platform's store, and is changed by
` + "`skylarkstand apply`" + `, see [OPERATING.md](OPERATING.md).
`

// Page renders docs/CONFIG.md, the reference of all settings and of the
// configuration. The error is for an invalid embedded schema.
func Page() (string, error) {
	var sb strings.Builder
	sb.WriteString(intro)
	for _, kd := range []Kind{Entry, Agent, Configuration, Load} {
		ck, err := compile(kd)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&sb, "\n## %s\n\nSchema: [%s.json](schema/%s.json).\n\n", ck.raw.Title, kd, kd)
		table(&sb, ck.raw)
		for _, name := range ck.definitionOrder() {
			fmt.Fprintf(&sb, "\n### %s\n\n%s\n\n", name, oneLine(ck.raw.Defs[name].Description))
			table(&sb, ck.raw.Defs[name])
		}
	}
	return sb.String(), nil
}

// definitionOrder lists the names of the definitions in the order of their first use.
func (ck *checker) definitionOrder() []string {
	var out []string
	var walk func(ob object)
	walk = func(ob object) {
		for _, fi := range ob.fields() {
			name := fi.definition()
			if name == "" || slices.Contains(out, name) {
				continue
			}
			out = append(out, name)
			walk(ck.raw.Defs[name])
		}
	}
	walk(ck.raw)
	return out
}

// definition returns the name of the definition that an object or its items refer
// to, if any.
func (ob object) definition() string {
	if ob.Items != nil {
		return ob.Items.definition()
	}
	return strings.TrimPrefix(ob.Ref, "#/$defs/")
}

func table(sb *strings.Builder, ob object) {
	sb.WriteString("| field | type | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, fi := range ob.fields() {
		mark := ""
		if slices.Contains(ob.Required, fi.name) {
			mark = "*"
		}
		fmt.Fprintf(sb, "| `%s`%s | %s | %s | %s |\n", fi.name, mark, fi.kind(), string(fi.Default), oneLine(fi.Description))
	}
}

func (ob object) kind() string {
	switch {
	case ob.Items != nil:
		return "list of " + ob.Items.kind()
	case ob.Ref != "":
		return ob.definition()
	}
	return ob.Type
}

func oneLine(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", `\|`)
}
