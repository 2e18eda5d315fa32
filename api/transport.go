package api

import (
	"context"

	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"k8s.io/klog/v2"

	"clementinepier/ingress"
)

// transport is the library's transport. A panic on one connection, outside the handlers, ends that connection and not the process.
type transport struct{ network.Transporter }

func newTransport(options *hertzconfig.Options) network.Transporter {
	return transport{Transporter: standard.NewTransporter(options)}
}

// ListenAndServe implements network.Transporter.
func (t transport) ListenAndServe(serve network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, conn any) error {
		defer func() {
			if value := recover(); value != nil {
				klog.ErrorS(nil, "A connection panicked", "reason", value, "stack", ingress.Stack())
				_ = conn.(network.Conn).Close()
			}
		}()
		return serve(ctx, conn)
	})
}
