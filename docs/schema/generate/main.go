// Generate writes the JSON schemas in docs/schema from the Go structs, with
// their comments as descriptions. scripts/generate runs it from the root of the
// repository.
//
// # Usage
//
//	scripts/generate
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/invopop/jsonschema"

	"skylarkstand/app/settings"
	"skylarkstand/core/declaration"
	"skylarkstand/load"
)

const module = "skylarkstand"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	for _, page := range []struct {
		name  string
		title string
		value any
	}{
		{"entry", "Settings of an entry", settings.DefaultEntry()},
		{"agent", "Settings of an agent", settings.DefaultAgent()},
		{"configuration", "Configuration", declaration.Document{}},
		{"load", "Mix of the load command", load.DefaultMix()},
	} {
		sc, err := reflectSchema(page.value)
		if err != nil {
			return err
		}
		sc.Title = page.title
		raw, err := json.MarshalIndent(sc, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join("docs", "schema", page.name+".json"), append(raw, '\n'), 0o644); err != nil { //nolint:gosec // A page for everyone.
			return err
		}
	}
	return nil
}

func reflectSchema(val any) (*jsonschema.Schema, error) {
	rf := &jsonschema.Reflector{Anonymous: true, ExpandedStruct: true, Mapper: mapType}
	for _, dir := range []string{"./core/declaration", "./app/settings", "./load"} {
		if err := rf.AddGoComments(module, dir, jsonschema.WithFullComment()); err != nil {
			return nil, err
		}
	}
	sc := rf.Reflect(val)
	setDefaults(sc, reflect.ValueOf(val))
	renameDescriptions(sc)
	for _, def := range sc.Definitions {
		renameDescriptions(def)
	}
	return sc, nil
}

// renameDescriptions makes descriptions begin with the JSON key instead of the name of the Go
// field.
func renameDescriptions(sc *jsonschema.Schema) {
	for pair := sc.Properties.Oldest(); pair != nil; pair = pair.Next() {
		first, rest, ok := strings.Cut(pair.Value.Description, " ")
		if ok && strings.EqualFold(first, strings.ReplaceAll(pair.Key, "-", "")) {
			pair.Value.Description = pair.Key + " " + rest
		}
	}
}

// durationPattern matches what time.ParseDuration accepts, without signs.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`

func mapType(ty reflect.Type) *jsonschema.Schema {
	if ty == reflect.TypeFor[settings.Duration]() {
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
	}
	return nil
}

// setDefaults records the default of each field that has one and makes the field optional.
func setDefaults(sc *jsonschema.Schema, val reflect.Value) {
	for i := range val.NumField() {
		if val.Field(i).IsZero() {
			continue
		}
		name, _, _ := strings.Cut(val.Type().Field(i).Tag.Get("json"), ",")
		if prop, ok := sc.Properties.Get(name); ok {
			prop.Default = val.Field(i).Interface()
			sc.Required = slices.DeleteFunc(sc.Required, func(el string) bool { return el == name })
		}
	}
}
