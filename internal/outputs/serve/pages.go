package serve

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// pages handles the HTTP pages for browsers and curl. Each listing is also available as
// JSON with ?json=1.
type pages struct{ reader *readerService }

func (p pages) routes(e *echo.Echo) {
	e.GET("/", instrumented("/", p.home))
	e.GET("/go", func(c echo.Context) error { // the form on the home page
		return c.Redirect(http.StatusSeeOther, "/jobs/"+url.PathEscape(c.QueryParam("job")))
	})
	e.GET("/jobs/:job", instrumented("/jobs/:job", p.job))
	e.GET("/jobs/:job/:task/log", instrumented("/jobs/:job/:task/log", p.log))
	e.GET("/jobs/:job/:task/artefacts", instrumented("/jobs/:job/:task/artefacts", p.artefacts))
	e.GET("/jobs/:job/:task/artefacts/*", instrumented("/jobs/:job/:task/artefacts/*", p.fetch))
}

// instrumented wraps the handler of a page with request metrics, and sets the security
// headers that keep browsers from executing a task's output.
func instrumented(path string, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		start := time.Now()
		h := c.Response().Header()
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
		err := next(c)
		observeRequest(path, start, err)
		return err
	}
}

// writeError responds to a request for a page with an error as a line of text.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return // the response has started; the broken connection signals the error
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		c.String(httpError.Code, fmt.Sprintln(httpError.Message))
		return
	}
	var coded *connect.Error
	text := err.Error()
	if errors.As(err, &coded) {
		text = coded.Message()
		if after := coded.Meta().Get("Retry-After"); after != "" {
			c.Response().Header().Set("Retry-After", after)
		}
	}
	c.String(httpStatus(err), text+"\n")
}

// queryFlag returns the boolean value of a query parameter, false if it is invalid.
func queryFlag(c echo.Context, name string) bool {
	v, _ := strconv.ParseBool(c.QueryParam(name))
	return v
}

func writeJSON(c echo.Context, m proto.Message) error {
	raw, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: false}.Marshal(m)
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, append(raw, '\n'))
}

// home shows the members of the cluster.
func (p pages) home(c echo.Context) error {
	m, err := p.reader.Members(c.Request().Context(), connect.NewRequest(new(pb.MembersRequest)))
	if err != nil {
		return err
	}
	if queryFlag(c, "json") {
		return writeJSON(c, m.Msg)
	}
	return render(c, homePage, m.Msg)
}

// listFilters are the values of the query parameter "which".
var listFilters = map[string]pb.Which{
	"":       pb.Which_WHICH_ALL,
	"all":    pb.Which_WHICH_ALL,
	"failed": pb.Which_WHICH_FAILED,
	"open":   pb.Which_WHICH_OPEN,
}

// job lists a job's attempts.
func (p pages) job(c echo.Context) error {
	req, err := parseListRequest(c)
	if err != nil {
		return err
	}
	list, err := p.reader.list(c.Request().Context(), req)
	if err != nil {
		return err
	}
	if queryFlag(c, "json") {
		return writeJSON(c, list)
	}
	return render(c, jobPage, jobPageData{
		Job:         req.Job,
		Which:       c.QueryParam("which"),
		Attempts:    list.Attempts,
		Unreachable: list.Unreachable,
		Next:        hex.EncodeToString(list.Next),
	})
}

func parseListRequest(c echo.Context) (*pb.ListRequest, error) {
	which, ok := listFilters[c.QueryParam("which")]
	if !ok {
		return nil, invalidField("which", "must be all, failed or open")
	}
	req := &pb.ListRequest{Job: c.Param("job"), Which: which}
	if task := c.QueryParam("task"); task != "" {
		n, err := strconv.ParseUint(task, 10, 32)
		if err != nil {
			return nil, invalidField("task", "must be a number")
		}
		req.Task = proto.Uint32(uint32(n))
	}
	if limit := c.QueryParam("limit"); limit != "" {
		n, err := strconv.ParseUint(limit, 10, 16)
		if err != nil {
			return nil, invalidField("limit", "must be a number")
		}
		req.Limit = uint32(n)
	}
	if after := c.QueryParam("after"); after != "" {
		key, err := hex.DecodeString(after)
		if err != nil {
			return nil, invalidField("after", "must be what the page before says")
		}
		req.After = key
	}
	return req, nil
}

// artefacts lists an attempt's artefacts.
func (p pages) artefacts(c echo.Context) error {
	s, err := p.findAttempt(c)
	if err != nil {
		return err
	}
	d, err := p.reader.describe(c.Request().Context(), s.Attempt)
	if err != nil {
		return err
	}
	if queryFlag(c, "json") {
		return writeJSON(c, d)
	}
	return render(c, filesPage, filesPageData{Name: outputs.FormatAttempt(s.Attempt), Summary: d.Summary, Seal: d.Seal})
}
