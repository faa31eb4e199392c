package client

import (
	"context"
	"iter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
)

// unaryTimeout is the timeout of a request to one store. It is below idleTimeout, so
// that another store can be tried when one hangs.
const unaryTimeout = 10 * time.Second

// unaryMethod is a unary method of the reader service, as a method expression.
type unaryMethod[Request, Response any] func(outputsv1connect.ReaderServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error)

// callUnary calls a method, with retries at all stores, until one gives a final answer.
func callUnary[Request, Response any](ctx context.Context, c *Client, method unaryMethod[Request, Response], request *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	var message *Response
	err := c.Retry(ctx, func(ctx context.Context, addr string) error {
		ctx, cancel := context.WithTimeout(ctx, unaryTimeout)
		defer cancel()
		response, err := method(c.Reader(addr), ctx, connect.NewRequest(request))
		if err == nil {
			message = response.Msg
		}
		return err
	})
	return message, err
}

// List returns one page of the attempts that a request selects.
func (c *Client) List(ctx context.Context, request *pb.ListRequest) (*pb.ListResponse, error) {
	return callUnary(ctx, c, outputsv1connect.ReaderServiceClient.List, request)
}

// ListAll iterates over all pages of a listing and stops at the first error. It adds
// the names of members that did not answer to unreachable: attempts that only they
// store are missing from the listing.
func (c *Client) ListAll(ctx context.Context, request *pb.ListRequest, unreachable map[string]bool) iter.Seq2[*pb.Summary, error] {
	return func(yield func(*pb.Summary, error) bool) {
		request := proto.CloneOf(request)
		for {
			page, err := c.List(ctx, request)
			if err != nil {
				yield(nil, err)
				return
			}
			for _, name := range page.Unreachable {
				unreachable[name] = true
			}
			for _, summary := range page.Attempts {
				if !yield(summary, nil) {
					return
				}
			}
			if len(page.Next) == 0 {
				return
			}
			request.After = page.Next
		}
	}
}

// Describe returns the summary and the seal of an attempt.
func (c *Client) Describe(ctx context.Context, attempt *pb.Attempt) (*pb.DescribeResponse, error) {
	return callUnary(ctx, c, outputsv1connect.ReaderServiceClient.Describe, &pb.DescribeRequest{Attempt: attempt})
}
