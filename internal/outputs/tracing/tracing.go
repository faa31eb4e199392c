// Package tracing enables OpenTelemetry traces if the settings have a target for them.
// The other packages use the tracers of OpenTelemetry's global provider, which do
// nothing at negligible cost until [Start] sets a provider.
package tracing

import (
	"context"
	"fmt"
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

const (
	// filePrefix is the prefix of targets that are files.
	filePrefix = "file:"
	// maxQueuedSpans limits the spans queued for a slow collector; further spans are
	// dropped.
	maxQueuedSpans = 4096
	// shutdownTimeout limits how long an unreachable collector delays the exit of the
	// process.
	shutdownTimeout = 3 * time.Second
)

// Start enables traces to an OTLP/HTTP collector at HOST:PORT, or as JSON lines to
// file:PATH. service and instance identify this process in the traces.
//
// The interceptors add a span to each request of Connect clients and servers. stop
// exports the remaining spans and must be called once, before the process exits. With
// an empty target nothing is enabled: there are no interceptors, and stop does nothing.
func Start(ctx context.Context, target, service, instance string) (interceptors []connect.Interceptor, stop func(), err error) {
	if target == "" {
		return nil, func() {}, nil
	}
	exporter, closeExporter, err := newExporter(ctx, target)
	if err != nil {
		return nil, nil, err
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter, trace.WithMaxQueueSize(maxQueuedSpans)),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service),
			attribute.String("service.instance.id", instance),
		)),
	)
	stop = func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		provider.Shutdown(ctx)
		closeExporter()
	}
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	interceptor, err := otelconnect.NewInterceptor(otelconnect.WithoutMetrics(), otelconnect.WithTrustRemote())
	if err != nil {
		stop()
		return nil, nil, err
	}
	return []connect.Interceptor{interceptor}, stop, nil
}

// newExporter returns an exporter to a target, and a function that closes its file if
// it has one.
func newExporter(ctx context.Context, target string) (exporter trace.SpanExporter, closeFile func(), err error) {
	path, isFile := strings.CutPrefix(target, filePrefix)
	if !isFile {
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(target), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, nil, fmt.Errorf("traces to %s: %w", target, err)
		}
		return exporter, func() {}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, nil, err
	}
	exporter, err = stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		file.Close()
		return nil, nil, err
	}
	return exporter, func() { file.Close() }, nil
}
