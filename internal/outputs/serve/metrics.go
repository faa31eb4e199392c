package serve

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
)

// Request metrics.
var (
	requestsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "reedtrack_outputs_requests_total",
		Help: "Requests answered, by path of the RPC or page, and result."}, []string{"path", "result"})
	requestSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "reedtrack_outputs_request_seconds",
		Help:    "Time from a request's arrival to its answer; streams by their end.",
		Buckets: []float64{.001, .003, .01, .03, .1, .3, 1, 3, 10}}, []string{"path"})
)

func init() { prometheus.MustRegister(requestsTotal, requestSeconds) }

// observeRequest records the result and duration of a completed request.
func observeRequest(path string, start time.Time, err error) {
	result := "ok"
	if err != nil {
		result = connect.CodeOf(err).String()
	}
	requestsTotal.WithLabelValues(path, result).Inc()
	requestSeconds.WithLabelValues(path).Observe(time.Since(start).Seconds())
}

// metricsInterceptor records metrics of the RPC services.
type metricsInterceptor struct{}

// WrapUnary records metrics of unary requests.
func (metricsInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		start := time.Now()
		resp, err := next(ctx, r)
		observeRequest(r.Spec().Procedure, start, err)
		return resp, err
	}
}

// WrapStreamingClient returns next unchanged: the interceptor is for handlers only.
func (metricsInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler records metrics of a stream when it ends.
func (metricsInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		start := time.Now()
		err := next(ctx, c)
		observeRequest(c.Spec().Procedure, start, err)
		return err
	}
}
