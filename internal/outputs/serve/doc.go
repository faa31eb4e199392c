// Package serve handles the requests to a store: the RPC services for writers, readers
// and other stores, and plain HTTP pages for browsers and curl.
//
// [New] creates the handler and [Serve] runs it on a listener. Every request except
// /up and /metrics needs a token (see package access) if tokens are configured; the
// services then authorize the caller. A [cluster.Node] does the actual work. The only
// state of this package is the slots that limit the number of concurrent requests.
package serve
