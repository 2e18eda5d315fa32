// Package trace creates OpenTelemetry spans and propagates their context between processes.
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

// HeaderName is the HTTP header that carries the W3C trace context.
const HeaderName = "traceparent"

var propagator = propagation.TraceContext{}

// Tracer creates the spans of one process.
type Tracer struct {
	tracer oteltrace.Tracer
	// Close exports the remaining spans and closes the output.
	Close func(ctx context.Context) error
}

// New returns a tracer that appends spans as JSON lines to the named file. If the file name is empty, the tracer only
// creates trace IDs and exports nothing.
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

// NewWithExporter returns a tracer that exports each span synchronously when it ends.
func NewWithExporter(vm string, exporter sdk.SpanExporter) *Tracer {
	provider := sdk.NewTracerProvider(sdk.WithSyncer(exporter))
	return &Tracer{tracer: provider.Tracer(vm), Close: provider.Shutdown}
}

// Start starts a span with alternating attribute keys and values, and returns a context that carries it.
func (t *Tracer) Start(ctx context.Context, name string, attributes ...string) (context.Context, *Span) {
	ctx, span := t.tracer.Start(ctx, name)
	for i := 0; i+1 < len(attributes); i += 2 {
		span.SetAttributes(attribute.String(attributes[i], attributes[i+1]))
	}
	return ctx, &Span{span: span}
}

// Span is one operation in the trace of a request.
type Span struct{ span oteltrace.Span }

// End ends the span; a non-empty reason sets its status to error.
func (s *Span) End(reason string) {
	if reason != "" {
		s.span.SetStatus(codes.Error, reason)
	}
	s.span.End()
}

// ID returns the trace ID in ctx in hexadecimal, or an empty string if there is none.
func ID(ctx context.Context) string {
	span := oteltrace.SpanContextFromContext(ctx)
	if !span.HasTraceID() {
		return ""
	}
	return span.TraceID().String()
}

// Inject returns the traceparent header value for the trace context in ctx.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[HeaderName]
}

// Extract returns ctx with the trace context of a traceparent header value; an invalid value leaves ctx unchanged.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{HeaderName: traceparent})
}
