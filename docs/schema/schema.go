// Package schema holds the generated JSON schemas of what operators write: the
// settings of both roles, the configuration and the mix of a load. They are generated from the Go
// structs by docs/schema/generate and built into the program, so that a check
// and the documentation cannot differ.
//
// # Usage
//
//	raw, err := schema.Files.ReadFile("configuration.json")
package schema

import "embed"

// Files holds entry.json, agent.json, configuration.json and load.json.
//
//go:embed *.json
var Files embed.FS
