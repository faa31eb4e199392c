package serve

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	pb "reedtrack/internal/outputs/outputsv1"
)

// findPageSize is the page size of list requests of [pages.findAttempt]: the maximum,
// because all attempts of the task are examined.
const findPageSize = 1000

// attemptSelector selects attempts of a task by the query parameters of a request.
type attemptSelector struct {
	try uint64 // 0: any
	run string // hexadecimal prefix of the run; empty: any
}

func (s attemptSelector) matches(a *pb.Attempt) bool {
	if s.try > 0 && a.Try != s.try {
		return false
	}
	return s.run == "" || strings.HasPrefix(hex.EncodeToString(a.Run), s.run)
}

// findAttempt returns the newest attempt of the requested task that matches the try and
// run, if these are given.
func (p pages) findAttempt(c echo.Context) (*pb.Summary, error) {
	task, err := strconv.ParseUint(c.Param("task"), 10, 32)
	if err != nil {
		return nil, invalidField("task", "must be a number")
	}
	selector := attemptSelector{run: c.QueryParam("run")}
	if t := c.QueryParam("try"); t != "" {
		if selector.try, err = strconv.ParseUint(t, 10, 64); err != nil {
			return nil, invalidField("try", "must be a number")
		}
	}
	var newest *pb.Summary
	req := &pb.ListRequest{Job: c.Param("job"), Task: proto.Uint32(uint32(task)), Limit: findPageSize}
	for {
		page, err := p.reader.list(c.Request().Context(), req)
		if err != nil {
			return nil, err
		}
		for _, s := range page.Attempts {
			if selector.matches(s.Attempt) && (newest == nil || isNewer(s, newest)) {
				newest = s
			}
		}
		if len(page.Next) > 0 {
			req.After = page.Next
			continue
		}
		if newest == nil && len(page.Unreachable) > 0 {
			return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("not found, but %s does not answer", strings.Join(page.Unreachable, " and ")))
		}
		break
	}
	if newest == nil {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("nothing is kept of %s/%d", c.Param("job"), task))
	}
	return newest, nil
}

// isNewer reports whether attempt a of a task is newer than b.
func isNewer(a, b *pb.Summary) bool {
	if a.Attempt.Try != b.Attempt.Try {
		return a.Attempt.Try > b.Attempt.Try
	}
	return a.Meta.GetBegunNs() > b.Meta.GetBegunNs()
}
