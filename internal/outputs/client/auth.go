package client

import (
	"context"

	"connectrpc.com/connect"
)

// bearerToken is an interceptor that adds its value to requests as the bearer token.
type bearerToken string

// BearerToken returns an interceptor that adds a token to the Authorization
// header of each request that a client sends. An empty token adds nothing.
func BearerToken(token string) connect.Interceptor { return bearerToken(token) }

// WrapUnary adds the token to unary requests.
func (token bearerToken) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if token != "" && request.Spec().IsClient {
			request.Header().Set("Authorization", "Bearer "+string(token))
		}
		return next(ctx, request)
	}
}

// WrapStreamingClient adds the token to requests that open a stream.
func (token bearerToken) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		if token != "" {
			conn.RequestHeader().Set("Authorization", "Bearer "+string(token))
		}
		return conn
	}
}

// WrapStreamingHandler returns next unchanged, because only clients send a token.
func (token bearerToken) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
