package daemon

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// adminConfig lets the operators' API read and change the configuration.
type adminConfig struct {
	configSync *configsync.Sync
	table      platform.Table
	history    *configsync.History
	log        logrus.FieldLogger
}

// Installed returns the document in force on this daemon, or nil if there is none.
func (a adminConfig) Installed() *clusterconfig.Document { return a.configSync.Installed() }

// Stored reads the document from the table service. It returns nil without an error if the table service holds none.
func (a adminConfig) Stored(ctx context.Context) (*clusterconfig.Document, error) {
	row, err := a.table.Get(ctx, configsync.RowKey)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.StoreUnavailable, err, "configuration row could not be read")
	}
	return clusterconfig.Parse(row.Value)
}

// History returns up to limit accepted documents, newest first.
func (a adminConfig) History(ctx context.Context, limit int) ([]*clusterconfig.Document, error) {
	doc, err := a.Stored(ctx)
	if err != nil || doc == nil {
		return nil, err
	}
	return a.history.List(ctx, doc.Version, limit)
}

// Apply applies the change and adds the accepted document to the history. A document that cannot be added is in force
// all the same, so that this is only logged.
func (a adminConfig) Apply(ctx context.Context, c admin.Change) (*clusterconfig.Document, error) {
	doc := *c.Document
	doc.Author = c.Author
	accepted, err := a.configSync.Apply(ctx, &doc, c.IfVersion, c.OperationID)
	if err != nil {
		return accepted, err
	}
	if err := a.history.Add(ctx, accepted); err != nil {
		a.log.WithError(err).Warn("accepted configuration is in force, but could not be added to the history")
	}
	return accepted, nil
}
