// Package team identifies the team of a caller by the key that the caller presents. It does no I/O and keeps no key: a key
// is hashed when it is read, and only its hash is compared and kept.
package team

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// KeyHash stands for a caller's key. The empty hash stands for a caller without a key.
type KeyHash string

// hashBytes is the length of a hash. Keys are random, so that half of a SHA-256 leaves no room for guesses or collisions.
const hashBytes = 16

// Hash returns the hash of a key.
func Hash(key string) KeyHash {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return KeyHash(base64.RawURLEncoding.EncodeToString(sum[:hashBytes]))
}

// Identify returns the team whose key has the given hash. Where keys are required and the route is not public, a caller
// whose key no team holds is refused. Otherwise such a caller has no team, and the zero Team is returned.
func Identify(doc *clusterconfig.Document, route clusterconfig.Route, key KeyHash) (clusterconfig.Team, error) {
	if !doc.KeysRequired {
		return clusterconfig.Team{}, nil
	}
	if t, ok := doc.TeamOfKey(string(key)); ok {
		return t, nil
	}
	if route.Public {
		return clusterconfig.Team{}, nil
	}
	return clusterconfig.Team{}, errkind.New(errkind.UnknownKey, "no team holds the caller's key in configuration version %d", doc.Version)
}
