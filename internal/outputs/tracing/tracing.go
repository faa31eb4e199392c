// Package tracing switches OpenTelemetry traces on where the settings name a place
// for them. Without it the tracers of the other packages do nothing.
package tracing

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Start switches traces on: to a collector of OTLP over HTTP at host:port, or as
// JSON lines to file:PATH. Empty: nothing happens, and the interceptors are none.
// stop writes what is left.
func Start(ctx context.Context, target, service, name string) (interceptors []connect.Interceptor, stop func(), err error) {
	if target == "" {
		return nil, func() {}, nil
	}
	var exporter trace.SpanExporter
	var file io.Closer
	if path, ok := strings.CutPrefix(target, "file:"); ok {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
		if err != nil {
			return nil, nil, err
		}
		file = f
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, nil, err
		}
	} else {
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(target), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, nil, fmt.Errorf("traces to %s: %w", target, err)
		}
	}
	provider := trace.NewTracerProvider(trace.WithBatcher(exporter, trace.WithMaxQueueSize(4096)),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", service), attribute.String("service.instance.id", name))))
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	rpc, err := otelconnect.NewInterceptor(otelconnect.WithoutMetrics(), otelconnect.WithTrustRemote())
	if err != nil {
		return nil, nil, err
	}
	return []connect.Interceptor{rpc}, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		provider.Shutdown(ctx)
		if file != nil {
			file.Close()
		}
	}, nil
}
