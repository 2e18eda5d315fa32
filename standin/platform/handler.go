package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/jsonhttp"
	"clementinepier/kvstore"
	"clementinepier/standin/fault"
)

type empty struct{}

// Handler serves the key-value and VM list calls under /v1/ and the admin calls under /admin/. Injected faults do not
// affect admin calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.handleReads(mux)
	p.handleWrites(mux)
	p.handleAdmin(mux)
	return mux
}

// withoutCancel lets a call take effect after its caller has cancelled or timed out, as it can with a slow service.
func withoutCancel(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }

func (p *Platform) handleReads(mux *http.ServeMux) {
	// Do not rename the request types in this function: encoding/json puts the name of the type into the error text of a
	// malformed request, which is sent with status 400.
	type keyed struct {
		Key string `json:"key"`
	}
	jsonhttp.Handle(mux, "/v1/get", func(ctx context.Context, in keyed) (kvstore.Entry, error) {
		entry, err := p.get(withoutCancel(ctx), in.Key)
		return entry, httpError(err)
	})
	type prefixed struct {
		Prefix string `json:"prefix"`
	}
	jsonhttp.Handle(mux, "/v1/list", func(ctx context.Context, in prefixed) (any, error) {
		entries, err := p.list(withoutCancel(ctx), in.Prefix)
		return map[string]any{"entries": entries}, httpError(err)
	})
	type watched struct {
		Key   string       `json:"key"`
		After uint64       `json:"after"`
		Wait  job.Duration `json:"wait"`
	}
	jsonhttp.Handle(mux, "/v1/watch", func(ctx context.Context, in watched) (kvstore.Entry, error) {
		entry, err := p.watch(ctx, in.Key, in.After, in.Wait.Std())
		return entry, httpError(err)
	})
	jsonhttp.Handle(mux, "/v1/vms", func(ctx context.Context, _ empty) (any, error) {
		vms, err := p.listVMs(withoutCancel(ctx))
		return map[string]any{"vms": vms}, httpError(err)
	})
}

func (p *Platform) handleWrites(mux *http.ServeMux) {
	type write struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
		Lease   uint64 `json:"lease"`
	}
	jsonhttp.Handle(mux, "/v1/compare-and-swap", func(ctx context.Context, in write) (any, error) {
		version, err := p.CompareAndSwapLeased(withoutCancel(ctx), in.Key, in.Value, in.Version, in.Lease)
		return map[string]any{"version": version}, httpError(err)
	})
	jsonhttp.Handle(mux, "/v1/delete", func(ctx context.Context, in write) (empty, error) {
		return empty{}, httpError(p.deleteEntry(withoutCancel(ctx), in.Key, in.Version))
	})
	type leased struct {
		Lease  uint64       `json:"lease"`
		Length job.Duration `json:"length"`
	}
	jsonhttp.Handle(mux, "/v1/grant", func(ctx context.Context, in leased) (any, error) {
		lease, err := p.GrantLease(withoutCancel(ctx), in.Length.Std())
		return map[string]any{"lease": lease}, httpError(err)
	})
	jsonhttp.Handle(mux, "/v1/renew", func(ctx context.Context, in leased) (empty, error) {
		return empty{}, httpError(p.RenewLease(withoutCancel(ctx), in.Lease, in.Length.Std()))
	})
}

func (p *Platform) handleAdmin(mux *http.ServeMux) {
	jsonhttp.Handle(mux, "/admin/faults", func(_ context.Context, in fault.Faults) (empty, error) {
		p.SetFaults(in)
		return empty{}, nil
	})
	jsonhttp.Handle(mux, "/admin/calls", func(context.Context, empty) (map[string]uint64, error) {
		return p.Calls(), nil
	})
	type lag struct {
		Lag job.Duration `json:"lag"`
	}
	jsonhttp.Handle(mux, "/admin/lag", func(_ context.Context, in lag) (empty, error) {
		p.SetLag(in.Lag.Std())
		return empty{}, nil
	})
	jsonhttp.Handle(mux, "/admin/vms/add", func(_ context.Context, in kvstore.VM) (empty, error) {
		if in.Name == "" || in.Address == "" {
			return empty{}, errors.New("a VM needs a name and an address")
		}
		p.AddVM(in)
		return empty{}, nil
	})
	type named struct {
		Name    string `json:"name"`
		Leaving bool   `json:"leaving"`
	}
	jsonhttp.Handle(mux, "/admin/vms/remove", func(_ context.Context, in named) (empty, error) {
		p.RemoveVM(in.Name)
		return empty{}, nil
	})
	jsonhttp.Handle(mux, "/admin/vms/leaving", func(_ context.Context, in named) (empty, error) {
		if !p.MarkLeaving(in.Name, in.Leaving) {
			return empty{}, &jsonhttp.ErrStatus{Status: http.StatusNotFound, Body: []byte("no VM named " + in.Name)}
		}
		return empty{}, nil
	})
}

// httpError maps an error of a call to a status code. Any other error, such as an injected fault, aborts the response.
func httpError(err error) error {
	var differs *kvstore.ErrVersionDiffers
	var noLease *ErrLeaseNotExist
	switch {
	case err == nil:
		return nil
	case errors.As(err, &differs):
		body, _ := json.Marshal(map[string]uint64{"have": differs.Have})
		return &jsonhttp.ErrStatus{Status: http.StatusConflict, Body: body}
	case errors.As(err, &noLease):
		return &jsonhttp.ErrStatus{Status: http.StatusNotFound, Body: []byte(err.Error())}
	case kvstore.IsErrValueTooLarge(err):
		return &jsonhttp.ErrStatus{Status: http.StatusRequestEntityTooLarge, Body: []byte(err.Error())}
	}
	return jsonhttp.ErrAbort
}
