package configsync

import (
	"context"
	"fmt"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
)

// ObjectStore stores the copies of accepted documents.
type ObjectStore interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
}

// History keeps a copy of each accepted document in the object store. It is a record for operators. Which document is in
// force depends on the configuration row alone.
type History struct {
	objects ObjectStore
}

// NewHistory returns the history kept in objects.
func NewHistory(objects ObjectStore) *History { return &History{objects: objects} }

// objectName returns the name of the object that holds a version. The padding makes names sort by version.
func objectName(version uint64) string { return fmt.Sprintf("%s-%020d", RowKey, version) }

// Add stores an accepted document.
func (h *History) Add(ctx context.Context, doc *clusterconfig.Document) error {
	raw, err := doc.Marshal()
	if err != nil {
		return err
	}
	return h.objects.PutObject(ctx, objectName(doc.Version), raw)
}

// List returns the documents of up to limit versions, in descending order from the given one. A version whose copy cannot
// be read is left out; the copy is missing if the object store was down when the document was accepted.
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
