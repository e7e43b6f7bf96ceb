// Package schema embeds the generated JSON schemas of the files that operators write: the settings
// of both roles, the configuration and the mix of the load command. docs/schema/generate generates
// them from the Go structs, so that validation and documentation cannot differ.
//
// # Usage
//
//	raw, err := schema.Files.ReadFile("configuration.json")
package schema

import "embed"

// Files contains entry.json, agent.json, configuration.json and load.json.
//
//go:embed *.json
var Files embed.FS
