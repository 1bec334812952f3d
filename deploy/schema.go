// Package deploy embeds the published schemas of the operators' files, so that the program checks files against the same schemas
// that operators' tools use.
package deploy

import _ "embed"

// OperationsSchema is the JSON Schema of operations.toml.
//
//go:embed operations.schema.json
var OperationsSchema []byte

// FleetSchema is the JSON Schema of fleet.toml.
//
//go:embed fleet.schema.json
var FleetSchema []byte
