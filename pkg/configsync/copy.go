package configsync

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// maxOperations is how many versions a LocalConfig remembers by their operation.
const maxOperations = 64

// LocalConfig is the state machine of one daemon's configuration: versions only grow. It does no I/O. The zero value has no
// configuration.
type LocalConfig struct {
	document   *clusterconfig.Document
	raw        []byte
	hash       uint32
	operations map[uint64]string // of versions seen
}

// Document returns the installed document, or nil.
func (c *LocalConfig) Document() *clusterconfig.Document { return c.document }

// Raw returns the stored form of the installed document.
func (c *LocalConfig) Raw() []byte { return c.raw }

// Hash returns the first 4 bytes of the stored form's SHA-256.
func (c *LocalConfig) Hash() uint32 { return c.hash }

// Version returns the installed version, 0 for none.
func (c *LocalConfig) Version() uint64 {
	if c.document == nil {
		return 0
	}
	return c.document.Version
}

// Install takes over a document that is newer than the installed one and reports whether it did. Another document of
// the installed version is an error: compare-and-set gives each version to one operation.
func (c *LocalConfig) Install(doc *clusterconfig.Document, raw []byte) (bool, error) {
	if doc.Version == 0 {
		return false, errkind.New(errkind.ConfigInvalid, "stored document has no version")
	}
	if doc.Version == c.Version() && doc.OperationID != c.document.OperationID {
		return false, errkind.New(errkind.Internal, "version %d was accepted for operations %q and %q", doc.Version,
			c.document.OperationID, doc.OperationID)
	}
	if !doc.Newer(c.document) {
		return false, nil
	}
	sum := sha256.Sum256(raw)
	c.document, c.raw, c.hash = doc, raw, binary.BigEndian.Uint32(sum[:])
	if c.operations == nil {
		c.operations = map[uint64]string{}
	}
	c.operations[doc.Version] = doc.OperationID
	if doc.Version > maxOperations {
		delete(c.operations, doc.Version-maxOperations)
	}
	return true, nil
}

// Operation returns the operation that made a version, if this copy saw it.
func (c *LocalConfig) Operation(version uint64) (string, bool) {
	id, ok := c.operations[version]
	return id, ok
}

func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }

// applyOutcome is what is known of an attempt to apply.
type applyOutcome uint8

const (
	outcomeApplied  applyOutcome = iota // the operation made the row, or made an earlier version
	outcomeConflict                     // another operation took the version
	outcomePending                      // nothing has changed: the row may be written, and an earlier attempt may still arrive
	outcomeUnknown                      // later versions hide what became of the operation
)

// determineOutcome decides an operation that wants to replace version base, from the newest document known (nil: none).
// operationOf gives the operation of a version that was seen.
func determineOutcome(newest *clusterconfig.Document, baseVersion uint64, id string, operationOf func(uint64) (string, bool)) applyOutcome {
	version := uint64(0)
	if newest != nil {
		if newest.OperationID == id {
			return outcomeApplied
		}
		version = newest.Version
	}
	switch {
	case version == baseVersion:
		return outcomePending
	case version <= baseVersion+1:
		return outcomeConflict
	}
	seen, ok := operationOf(baseVersion + 1)
	switch {
	case !ok:
		return outcomeUnknown
	case seen == id:
		return outcomeApplied
	}
	return outcomeConflict
}
