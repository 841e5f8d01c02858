package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// applyTimeout bounds an Apply whose context has no deadline.
const applyTimeout = 30 * time.Second

// Apply makes doc the configuration if the version in force is ifVersion (0: none). It sets Version, OperationID and
// AcceptedAt in a copy of doc. The operation id must be unique to the change; repeating an Apply with the same id is
// safe and succeeds when the first one did.
//
// It returns the accepted document. On ConfigConflict it returns the document that another operator applied. A store
// that can't be reached gives StoreUnavailable (not applied) or StoreOutcomeUnknown (may have been applied).
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
	baseVersion    uint64 // version that the operator saw
	doc            *clusterconfig.Document
	mayHaveApplied bool // a write may have taken effect or may still do
	retryBackoff   backoff
}

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

// attempt reads the row, decides, and writes when nothing has changed since the operator looked. done is false when
// the store didn't answer.
func (a *applyOperation) attempt(ctx context.Context) (done bool, result *clusterconfig.Document, err error) {
	row, err := a.sync.readRow(ctx)
	if err != nil {
		return false, nil, err
	}
	if row.Value != nil {
		if err := a.sync.installIfNewer(row.Value); err != nil {
			return true, nil, err
		}
	}
	// The installed document is at least as new as the row; it is newer only if the store was restored.
	newest := a.sync.Current()
	switch determineOutcome(newest, a.baseVersion, a.doc.OperationID, a.sync.operationOf) {
	case outcomeApplied:
		return true, a.acceptedDocument(newest), nil
	case outcomeConflict:
		return true, newest, a.conflictError(newest)
	case outcomeUnknown:
		if a.mayHaveApplied {
			return true, newest, errkind.New(errkind.StoreOutcomeUnknown, "version %d is in force; operation %s may have been replaced by it",
				newest.Version, a.doc.OperationID)
		}
		return true, newest, a.conflictError(newest)
	}
	return a.write(ctx, row)
}

// write stores the document on top of row. The row may be older than the version in force when the store was restored.
func (a *applyOperation) write(ctx context.Context, row platform.Row) (bool, *clusterconfig.Document, error) {
	a.doc.Version = a.baseVersion + 1
	raw, err := a.doc.Marshal()
	if err != nil {
		return true, nil, errkind.Wrap(errkind.ConfigInvalid, err, "document can't be stored")
	}
	if len(raw) > clusterconfig.MaxDocumentBytes {
		return true, nil, errkind.New(errkind.ConfigInvalid, "stored document has %d bytes, at most %d are allowed", len(raw), clusterconfig.MaxDocumentBytes)
	}
	putCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = a.sync.options.Store.Put(putCtx, RowKey, raw, row.Version)
	switch {
	case err == nil:
		return true, a.doc, a.sync.installIfNewer(raw)
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable):
		return false, nil, err // without effect; the row is read again
	}
	a.mayHaveApplied = true
	return false, nil, err
}

// acceptedDocument returns the document of an operation that took effect in an earlier attempt.
func (a *applyOperation) acceptedDocument(current *clusterconfig.Document) *clusterconfig.Document {
	if current != nil && current.OperationID == a.doc.OperationID {
		return current
	}
	a.doc.Version = a.baseVersion + 1
	return a.doc
}

func (a *applyOperation) conflictError(other *clusterconfig.Document) error {
	if other == nil {
		return errkind.New(errkind.ConfigConflict, "there is no configuration, the change was made for version %d", a.baseVersion)
	}
	return errkind.New(errkind.ConfigConflict, "version %d by %q is in force, the change was made for version %d",
		other.Version, other.Author, a.baseVersion)
}

func (s *Sync) operationOf(version uint64) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.Operation(version)
}
