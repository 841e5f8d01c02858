package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// applyTimeout limits the duration of an Apply, also if its context has no deadline.
const applyTimeout = 30 * time.Second

// Apply makes doc the configuration if the version in force is ifVersion, where 0 stands for no configuration. It sets
// Version, OperationID and AcceptedAt in a copy of doc. The operation id must be unique to the change. Repeating an Apply
// with the same id is safe, and succeeds if the first one did.
//
// It returns the accepted document. With an error of kind ConfigConflict it returns the document in force, which another
// operation has made. A table service that cannot be reached gives an error of kind StoreUnavailable if the document has
// not been applied, and of kind StoreOutcomeUnknown if it may have been.
func (s *Sync) Apply(ctx context.Context, doc *clusterconfig.Document, ifVersion uint64, operationID string) (*clusterconfig.Document, error) {
	if operationID == "" {
		return nil, errkind.New(errkind.ConfigInvalid, "an operation id is required")
	}
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	next := *doc
	next.OperationID, next.AcceptedAt = operationID, time.Now().UTC()
	a := &applyOperation{sync: s, baseVersion: ifVersion, doc: &next}
	return a.run(ctx)
}

// applyOperation is one Apply in progress.
type applyOperation struct {
	sync           *Sync
	baseVersion    uint64 // version that the operator has seen and wants to replace
	doc            *clusterconfig.Document
	mayHaveApplied bool // a write may have taken effect or may still take effect
	retryBackoff   backoff
}

// run repeats the attempt until the table service has answered or ctx is done.
func (a *applyOperation) run(ctx context.Context) (*clusterconfig.Document, error) {
	for {
		done, result, err := a.attempt(ctx)
		if done {
			return result, err
		}
		if !sleep(ctx, a.retryBackoff.next()) {
			if a.mayHaveApplied {
				return nil, errkind.Wrap(errkind.StoreOutcomeUnknown, err, "operation %s may have been applied", a.doc.OperationID)
			}
			return nil, storeUnavailableError(err)
		}
	}
}

// attempt reads the row, determines the outcome so far, and writes the document if the version in force is still the one
// that the operator has seen. done is false if the row has to be read again, because the table service did not answer or
// another write came first.
func (a *applyOperation) attempt(ctx context.Context) (done bool, result *clusterconfig.Document, err error) {
	row, err := a.sync.readRow(ctx, false)
	if err != nil {
		return false, nil, err
	}
	if row.Value != nil {
		if err := a.sync.installIfNewer(row.Value); err != nil {
			return true, nil, err
		}
	}
	// The newest document known is at least as new as the row. It is newer only if the table service was restored from a
	// backup.
	newest := a.sync.newest()
	switch determineOutcome(newest, a.baseVersion, a.doc.OperationID, a.sync.operationOf) {
	case outcomeApplied:
		return true, a.acceptedDocument(newest), nil
	case outcomeConflict:
		return true, newest, a.conflictError(newest)
	case outcomeUnknown:
		if a.mayHaveApplied {
			return true, newest, errkind.New(errkind.StoreOutcomeUnknown, "configuration version %d is in force; operation %s may have made an earlier version",
				newest.Version, a.doc.OperationID)
		}
		return true, newest, a.conflictError(newest)
	}
	return a.write(ctx, row)
}

// write replaces row by the document. If the table service was restored from a backup, the row may be older than the
// version in force; the document gets the version after the one in force all the same.
func (a *applyOperation) write(ctx context.Context, row platform.Row) (bool, *clusterconfig.Document, error) {
	a.doc.Version = a.baseVersion + 1
	raw, err := a.doc.Marshal()
	if err != nil {
		return true, nil, errkind.Wrap(errkind.ConfigInvalid, err, "configuration document cannot be encoded for the store")
	}
	if len(raw) > clusterconfig.MaxStoredBytes {
		return true, nil, errkind.New(errkind.ConfigInvalid, "stored configuration document has %d bytes, at most %d are allowed", len(raw), clusterconfig.MaxStoredBytes)
	}
	putCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = a.sync.options.Store.Put(putCtx, RowKey, raw, row.Version)
	switch {
	case err == nil:
		return true, a.doc, a.sync.installIfNewer(raw)
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable):
		return false, nil, err // the write had no effect; the row is read again
	}
	a.mayHaveApplied = true
	return false, nil, err
}

// acceptedDocument returns the document of an operation that took effect in an earlier attempt: the current one if the
// operation made it, else the operation's own, which a later version has replaced.
func (a *applyOperation) acceptedDocument(current *clusterconfig.Document) *clusterconfig.Document {
	if current != nil && current.OperationID == a.doc.OperationID {
		return current
	}
	a.doc.Version = a.baseVersion + 1
	return a.doc
}

// conflictError returns the error for an operation that cannot replace baseVersion, because other is in force, nil for no
// configuration.
func (a *applyOperation) conflictError(other *clusterconfig.Document) error {
	if other == nil {
		return errkind.New(errkind.ConfigConflict, "there is no configuration, but the change is based on version %d", a.baseVersion)
	}
	return errkind.New(errkind.ConfigConflict, "configuration version %d by %q is in force, but the change is based on version %d",
		other.Version, other.Author, a.baseVersion)
}

// operationOf returns the id of the operation that made a version, if this daemon has installed that version.
func (s *Sync) operationOf(version uint64) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.Operation(version)
}
