// Package trace sets up OpenTelemetry spans and carries their context between processes.
package trace

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// HeaderName is the W3C trace context header.
const HeaderName = "traceparent"

var propagator = propagation.TraceContext{}

// Tracer starts spans for one process.
type Tracer struct {
	tracer oteltrace.Tracer
	// Close writes what is left and releases the output.
	Close func(ctx context.Context) error
}

// New returns a tracer that appends spans as JSON lines to the file, or that only creates trace ids when the
// file is empty.
func New(vm, file string) (*Tracer, error) {
	if file == "" {
		provider := sdk.NewTracerProvider(sdk.WithSampler(sdk.AlwaysSample()))
		return &Tracer{tracer: provider.Tracer(vm), Close: provider.Shutdown}, nil
	}
	out, err := os.OpenFile(file, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Wrap(err, "open trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, errors.Wrap(err, "create trace exporter")
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter))
	closeAll := func(ctx context.Context) error {
		if err := provider.Shutdown(ctx); err != nil {
			return err
		}
		return out.Close()
	}
	return &Tracer{tracer: provider.Tracer(vm), Close: closeAll}, nil
}

// NewWithExporter returns a tracer that gives each span to the exporter when it ends.
func NewWithExporter(vm string, exporter sdk.SpanExporter) *Tracer {
	provider := sdk.NewTracerProvider(sdk.WithSyncer(exporter))
	return &Tracer{tracer: provider.Tracer(vm), Close: provider.Shutdown}
}

// Start starts a span for one hop.
func (t *Tracer) Start(ctx context.Context, name string, attributes ...string) (context.Context, *Span) {
	ctx, span := t.tracer.Start(ctx, name)
	for i := 0; i+1 < len(attributes); i += 2 {
		span.SetAttributes(attribute.String(attributes[i], attributes[i+1]))
	}
	return ctx, &Span{span: span}
}

// Span is one hop of a request.
type Span struct{ span oteltrace.Span }

// End finishes the span; a reason that is not empty marks it as failed.
func (s *Span) End(reason string) {
	if reason != "" {
		s.span.SetStatus(codes.Error, reason)
	}
	s.span.End()
}

// ID returns the trace id in ctx in hexadecimal, or an empty string.
func ID(ctx context.Context) string {
	span := oteltrace.SpanContextFromContext(ctx)
	if !span.HasTraceID() {
		return ""
	}
	return span.TraceID().String()
}

// Inject returns the W3C traceparent value for ctx.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[HeaderName]
}

// Extract returns ctx with the trace context of a traceparent value; a value that is not valid changes nothing.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{HeaderName: traceparent})
}
