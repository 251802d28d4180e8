// Package examples embeds the example rules files of both deployments. They must
// not be modified.
package examples

import _ "embed"

// Bertolucci is the rules file of the salon chair maintenance mesh.
//
//go:embed bertolucci.rules
var Bertolucci []byte

// Haneul is the rules file of the snowglobe franchise mesh.
//
//go:embed haneul.rules
var Haneul []byte
