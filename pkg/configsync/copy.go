package configsync

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// maxOperations is the number of latest versions whose operation ids a LocalConfig keeps.
const maxOperations = 64

// LocalConfig is one daemon's copy of the configuration. Its version never decreases. It does no I/O. The zero value
// holds no configuration.
type LocalConfig struct {
	document   *clusterconfig.Document
	raw        []byte
	packed     []byte // raw as wire.Pack returns it; nil until a peer asks
	hash       uint32
	operations map[uint64]string // ids of the operations that made the installed versions, by version
}

// Document returns the installed document, or nil if there is none.
func (c *LocalConfig) Document() *clusterconfig.Document { return c.document }

// Raw returns the stored form of the installed document.
func (c *LocalConfig) Raw() []byte { return c.raw }

// For returns the stored form for a peer: packed if the peer takes that, else as it is. The other one is nil.
func (c *LocalConfig) For(takesPacked bool) (raw, packed []byte) {
	if !takesPacked {
		return c.raw, nil
	}
	if c.packed == nil && len(c.raw) > 0 {
		packed, err := wire.Pack(c.raw)
		if err != nil {
			return c.raw, nil
		}
		c.packed = packed
	}
	return nil, c.packed
}

// Hash returns the first 4 bytes of the stored form's SHA-256.
func (c *LocalConfig) Hash() uint32 { return c.hash }

// Version returns the installed version, 0 for none.
func (c *LocalConfig) Version() uint64 {
	if c.document == nil {
		return 0
	}
	return c.document.Version
}

// Install installs doc, whose stored form is raw, if it is newer than the installed document, and reports whether it did.
// A document that has the installed version but was made by another operation is an error, since compare-and-set gives
// each version to one operation only.
func (c *LocalConfig) Install(doc *clusterconfig.Document, raw []byte) (bool, error) {
	if doc.Version == 0 {
		return false, errkind.New(errkind.ConfigInvalid, "stored configuration document has no version")
	}
	if doc.Version == c.Version() && doc.OperationID != c.document.OperationID {
		return false, errkind.New(errkind.Internal, "configuration version %d was made by two operations, %q and %q", doc.Version,
			c.document.OperationID, doc.OperationID)
	}
	if !doc.NewerThan(c.document) {
		return false, nil
	}
	sum := sha256.Sum256(raw)
	c.document, c.raw, c.packed, c.hash = doc, raw, nil, binary.BigEndian.Uint32(sum[:])
	if c.operations == nil {
		c.operations = map[uint64]string{}
	}
	c.operations[doc.Version] = doc.OperationID
	if doc.Version > maxOperations {
		delete(c.operations, doc.Version-maxOperations)
	}
	return true, nil
}

// Operation returns the id of the operation that made a version, if that version was installed here and is among the
// latest maxOperations ones.
func (c *LocalConfig) Operation(version uint64) (string, bool) {
	id, ok := c.operations[version]
	return id, ok
}

func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }

// applyOutcome is what is known about an operation that applies a document.
type applyOutcome uint8

const (
	outcomeApplied  applyOutcome = iota // the operation made the newest version or an earlier one
	outcomeConflict                     // another operation made the version that this one wanted to make
	outcomePending                      // the base version is in force; an earlier write may still take effect
	outcomeUnknown                      // there are later versions, and the operation may have made an earlier one
)

// determineOutcome returns the outcome so far of the operation id, which wants to replace version baseVersion. newest is
// the newest document known, nil for none. operationOf returns the operation that made a version, if that is known.
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
