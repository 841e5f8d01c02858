package router

import (
	"context"
	"errors"

	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// RequestView sends a view request to a VM and returns the body of the reply.
type RequestView func(ctx context.Context, vm platform.VM, r wire.ViewRequest) ([]byte, error)

// FetchView fetches a VM's view of a service. held is a view that the same VM returned earlier, or the zero View. The
// result same reports that the VM's view still has the version of held.
type FetchView func(ctx context.Context, vm platform.VM, service string, held group.View) (v group.View, same bool, err error)

// NewViewFetcher returns a FetchView that sends its requests through request. A VM that was rolled back to an older release
// misreads a request that carries a view version, so the request is then repeated without one.
func NewViewFetcher(request RequestView) FetchView {
	return func(ctx context.Context, vm platform.VM, service string, held group.View) (group.View, bool, error) {
		v, same, err := lookUpView(ctx, request, vm, service, held)
		if held.Version != 0 && errors.Is(err, group.ErrNotLookupAnswer) {
			return lookUpView(ctx, request, vm, service, group.View{})
		}
		return v, same, err
	}
}

// lookUpView sends one request and decodes the reply relative to held.
func lookUpView(ctx context.Context, request RequestView, vm platform.VM, service string, held group.View) (group.View, bool, error) {
	reply, err := request(ctx, vm, wire.ViewRequest{Service: service, Have: held.Version})
	if err != nil {
		return group.View{}, false, err
	}
	return group.DecodeLookupAnswer(reply, held)
}
