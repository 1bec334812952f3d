// Package deploy holds the published schemas of the operators' files, so that the program and its readers check by the
// same ones. It does nothing itself.
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
