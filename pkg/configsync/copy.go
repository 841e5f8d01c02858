package configsync

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// historyLength is how many versions a LocalConfig remembers by their operation.
const historyLength = 64

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
	if doc.Version > historyLength {
		delete(c.operations, doc.Version-historyLength)
	}
	return true, nil
}

// Operation returns the operation that made a version, if this copy saw it.
func (c *LocalConfig) Operation(version uint64) (string, bool) {
	id, ok := c.operations[version]
	return id, ok
}

func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }

// verdict is what is known of an attempt to apply.
type verdict uint8

const (
	verdictApplied  verdict = iota // the operation made the row, or made an earlier version
	verdictConflict                // another operation took the version
	verdictPending                 // nothing has changed: the row may be written, and an earlier attempt may still arrive
	verdictUnknown                 // later versions hide what became of the operation
)

// judge decides an operation that wants to replace version base, from the newest document known (nil: none).
// operation gives the operation of a version that was seen.
func judge(newest *clusterconfig.Document, base uint64, id string, operation func(uint64) (string, bool)) verdict {
	version := uint64(0)
	if newest != nil {
		if newest.OperationID == id {
			return verdictApplied
		}
		version = newest.Version
	}
	switch {
	case version == base:
		return verdictPending
	case version <= base+1:
		return verdictConflict
	}
	seen, ok := operation(base + 1)
	switch {
	case !ok:
		return verdictUnknown
	case seen == id:
		return verdictApplied
	}
	return verdictConflict
}
