// Package client talks to the stores for captures and for people.
package client

import (
	"context"

	"connectrpc.com/connect"
)

// bearer adds a token to requests.
type bearer string

// Bearer is an interceptor that adds a token to each request; empty: none.
func Bearer(token string) connect.Interceptor { return bearer(token) }

func (b bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if b != "" && r.Spec().IsClient {
			r.Header().Set("Authorization", "Bearer "+string(b))
		}
		return next(ctx, r)
	}
}

func (b bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		c := next(ctx, spec)
		if b != "" {
			c.RequestHeader().Set("Authorization", "Bearer "+string(b))
		}
		return c
	}
}

func (b bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
