package configsync

import (
	"context"
	"fmt"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
)

// ObjectStore keeps accepted documents.
type ObjectStore interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
}

// History keeps a copy of each accepted document in the object store. It is a record for operators; the row alone
// decides what is in force.
type History struct {
	objects ObjectStore
}

// NewHistory returns the history kept in objects.
func NewHistory(objects ObjectStore) *History { return &History{objects: objects} }

func objectName(version uint64) string { return fmt.Sprintf("%s-%020d", RowKey, version) }

// Add stores an accepted document.
func (h *History) Add(ctx context.Context, doc *clusterconfig.Document) error {
	raw, err := doc.Marshal()
	if err != nil {
		return err
	}
	return h.objects.PutObject(ctx, objectName(doc.Version), raw)
}

// List returns up to limit documents from the given version down. Versions whose copy is missing, since the object
// store was down when they were accepted, are left out.
func (h *History) List(ctx context.Context, from uint64, limit int) ([]*clusterconfig.Document, error) {
	var out []*clusterconfig.Document
	for v := from; v > 0 && from-v < uint64(limit); v-- {
		raw, err := h.objects.GetObject(ctx, objectName(v))
		if err != nil {
			if ctx.Err() != nil {
				return out, ctx.Err()
			}
			continue
		}
		doc, err := clusterconfig.Parse(raw)
		if err != nil {
			return out, err
		}
		out = append(out, doc)
	}
	return out, nil
}
