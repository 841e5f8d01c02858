package router

import (
	"context"
	"errors"

	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// RequestView sends a request to a VM and returns the body of its reply.
type RequestView func(ctx context.Context, vm platform.VM, r wire.ViewRequest) ([]byte, error)

// FetchView asks a VM for its view of a service and reports whether it has the version of the one held, which that VM
// gave before or which is the zero View.
type FetchView func(ctx context.Context, vm platform.VM, service string, held group.View) (v group.View, same bool, err error)

// Lookup returns a FetchView over requests. A VM that has gone back to an older version misunderstands a lookup with a
// version; it is asked again without one.
func Lookup(request RequestView) FetchView {
	return func(ctx context.Context, vm platform.VM, service string, held group.View) (group.View, bool, error) {
		v, same, err := lookUpView(ctx, request, vm, service, held)
		if held.Version != 0 && errors.Is(err, group.ErrLookup) {
			return lookUpView(ctx, request, vm, service, group.View{})
		}
		return v, same, err
	}
}

func lookUpView(ctx context.Context, request RequestView, vm platform.VM, service string, held group.View) (group.View, bool, error) {
	reply, err := request(ctx, vm, wire.ViewRequest{Service: service, Have: held.Version})
	if err != nil {
		return group.View{}, false, err
	}
	return group.DecodeLookup(reply, held)
}
