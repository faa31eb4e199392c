package serve

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"reedtrack/internal/outputs/access"
	"reedtrack/internal/outputs/cluster"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
	"reedtrack/internal/transport"
)

const (
	maxMessageBytes  = 16 << 20 // of one RPC message: well above the size of a block or chunk with its fields
	minCompressBytes = 4 << 10  // smaller responses are not worth compressing
	maxHeaderBytes   = 32 << 10
	headerTimeout    = 10 * time.Second
	idleTimeout      = 3 * time.Minute // longer than the pauses of a writer, so that its connection stays open
	shutdownTimeout  = 2 * time.Second // for requests in progress
)

// Paths for monitoring, which need no token.
const (
	upPath      = "/up"
	metricsPath = "/metrics"
)

// rpcPathPrefix is the path prefix of all RPC services.
const rpcPathPrefix = "/reedtrack.outputs."

// ConcurrencyLimits limit the number of concurrent requests of each kind and of
// connections. Requests beyond a limit are refused immediately, with Retry-After.
type ConcurrencyLimits struct {
	Writes      int
	Reads       int
	Follows     int // reads that wait for new records
	Connections int
}

// DefaultConcurrencyLimits returns limits for a store with some thousands of writers,
// each of which sends a request from time to time.
func DefaultConcurrencyLimits() ConcurrencyLimits {
	return ConcurrencyLimits{Writes: 1024, Reads: 64, Follows: 512, Connections: 8192}
}

// New returns the handler for requests to a store.
func New(node *cluster.Node, tokens *access.TokenSet, limits ConcurrencyLimits, options ...connect.HandlerOption) http.Handler {
	return authenticate(tokens, routes(node, limits, options))
}

// routes returns the handler for authenticated requests.
func routes(node *cluster.Node, limits ConcurrencyLimits, options []connect.HandlerOption) http.Handler {
	options = append([]connect.HandlerOption{
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithInterceptors(metricsInterceptor{}),
	}, options...)
	writer := &writerService{node: node, slots: make(chan struct{}, limits.Writes)}
	reader := &readerService{
		node:        node,
		slots:       make(chan struct{}, limits.Reads),
		followSlots: make(chan struct{}, limits.Follows),
	}
	e := echo.New()
	e.HTTPErrorHandler = writeError
	handleService := func(path string, h http.Handler) { e.Any(path+"*", echo.WrapHandler(h)) }
	handleService(outputsv1connect.NewWriterServiceHandler(writer, options...))
	handleService(outputsv1connect.NewReaderServiceHandler(reader, options...))
	handleService(outputsv1connect.NewPeerServiceHandler(&peerService{node: node}, options...))
	pages{reader: reader}.routes(e)
	e.GET(metricsPath, echo.WrapHandler(promhttp.Handler()))
	e.GET(upPath, func(c echo.Context) error {
		if problem := node.Membership().Problem(); problem != "" {
			return c.String(http.StatusServiceUnavailable, problem+"\n")
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// authenticate adds the caller to the context of each request, and refuses requests
// without a valid token.
func authenticate(tokens *access.TokenSet, next http.Handler) http.Handler {
	rpcErrors := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == upPath || r.URL.Path == metricsPath {
			next.ServeHTTP(w, r)
			return
		}
		caller, err := tokens.Authenticate(r.Header)
		if err == nil {
			next.ServeHTTP(w, r.WithContext(withCaller(r.Context(), caller)))
			return
		}
		w.Header().Set("WWW-Authenticate", `Basic realm="reedtrack outputs", charset="UTF-8"`)
		if strings.HasPrefix(r.URL.Path, rpcPathPrefix) {
			rpcErrors.Write(w, r, connect.NewError(connect.CodeUnauthenticated, err))
			return
		}
		http.Error(w, err.Error(), http.StatusUnauthorized)
	})
}

// callerKey is the context key of a request's caller.
type callerKey struct{}

func withCaller(ctx context.Context, caller access.Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, caller)
}

// callerOf returns the caller in a context, or one without permissions if there is
// none.
func callerOf(ctx context.Context) access.Caller {
	caller, _ := ctx.Value(callerKey{}).(access.Caller)
	return caller
}

// Server is a running HTTP server of a store.
type Server struct{ http *http.Server }

// Serve starts a server for a handler on a listener, of which it takes ownership.
// Without a certificate it serves plain HTTP.
func Serve(ln net.Listener, h http.Handler, certificate *access.CertificateReloader, limits ConcurrencyLimits) *Server {
	ln = transport.LimitListener(ln, limits.Connections)
	if certificate != nil {
		ln = tls.NewListener(ln, certificate.ServerConfig())
	}
	s := &Server{http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
	go s.http.Serve(ln)
	return s
}

// Close stops the server. It gives requests in progress a short time to finish.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

// Kill stops the server and aborts requests in progress.
func (s *Server) Kill() { s.http.Close() }
