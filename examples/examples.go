// Package examples embeds the example configurations, one for each of the two users.
package examples

import _ "embed"

// Kitakata is the example configuration of the Kitakata municipal utility.
//
//go:embed kitakata.json
var Kitakata []byte

// Kasica is the example configuration of Kašica Pretplata.
//
//go:embed kasica.json
var Kasica []byte
