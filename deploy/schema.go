// Package deploy holds the published schema of the operators' file, so that the program and its readers check by the
// same one. It does nothing itself.
package deploy

import _ "embed"

// OperationsSchema is the JSON Schema of operations.toml.
//
//go:embed operations.schema.json
var OperationsSchema []byte
