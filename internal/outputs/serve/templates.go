package serve

import (
	"fmt"
	"html/template"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	pb "reedtrack/internal/outputs/outputsv1"
)

// style is shared by all pages.
const style = `<style>body{font:15px/1.4 sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse;margin:0 0 1.5em}
td,th{padding:.15em .8em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}
.bad{color:#b00}code{background:#f4f4f4;padding:0 .2em}</style>`

// homePage renders a *pb.MembersResponse.
var homePage = template.Must(template.New("home").Funcs(templateFuncs).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>reedtrack outputs</title>` + style + `</head><body>
<h1>Outputs of tasks</h1>
<form action="/go"><label>Job <input name="job" placeholder="wk-000412" pattern="wk-[0-9]+" required></label> <button>show</button></form>
<h2>Stores</h2><table><tr><th>store</th><th>zone</th><th>address</th><th>attempts</th><th>MB on disk</th><th></th></tr>
{{range .Members}}<tr><td>{{.Name}}</td><td>{{.Zone}}</td><td>{{.Address}}</td><td>{{.Attempts}}</td><td>{{mb .DiskBytes}}</td>
<td>{{if not .Reachable}}<span class="bad">does not answer</span>{{else if .Full}}<span class="bad">full</span>{{end}}</td></tr>{{end}}</table>
{{if not .StateKnown}}<p class="bad">The state service has not answered for a while; the stores known last go on.</p>{{end}}
</body></html>`))

// jobPage renders a jobPageData.
var jobPage = template.Must(template.New("job").Funcs(templateFuncs).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Job}}</title>` + style + `</head><body>
<h1>{{.Job}}</h1>
<p><a href="/">stores</a> | <a href="/jobs/{{.Job}}">all</a> | <a href="/jobs/{{.Job}}?which=failed">failed</a> | <a href="/jobs/{{.Job}}?which=open">open</a></p>
{{range .Unreachable}}<p class="bad">Store {{.}} does not answer: what only it holds is missing here.</p>{{end}}
<table><tr><th>task</th><th>try</th><th>machine</th><th>status</th><th>last output</th><th>lines</th><th>bytes</th><th>left out</th><th>copies</th><th></th><th></th></tr>
{{range .Attempts}}<tr><td>{{.Attempt.Task}}</td><td>{{.Attempt.Try}}</td><td>{{.Attempt.Machine}}.{{.Attempt.Stint}}</td>
<td>{{if not .Sealed}}open{{else if eq .Exit 0}}done{{else}}<span class="bad">{{.Cause}} {{if .Signal}}{{.Signal}}{{else}}{{.Exit}}{{end}}</span>{{end}}</td>
<td>{{at .}}</td><td>{{lines .}}</td><td>{{size .}}</td><td>{{if .Tally.MissingBytes}}<span class="bad">{{.Tally.MissingBytes}}</span>{{end}}</td>
<td>{{if .Sealed}}{{.Copies}}{{if .Thin}} <span class="bad">few</span>{{end}}{{end}}</td>
<td><a href="{{link . "log"}}">log</a></td><td>{{if or .Artefacts .Refused}}<a href="{{link . "artefacts"}}">{{.Artefacts}} files</a>{{end}}</td></tr>{{else}}<tr><td colspan="11">nothing is kept</td></tr>{{end}}</table>
{{if .Next}}<p><a href="/jobs/{{.Job}}?which={{.Which}}&amp;after={{.Next}}">next page</a></p>{{end}}
</body></html>`))

// filesPage renders a filesPageData.
var filesPage = template.Must(template.New("files").Funcs(templateFuncs).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>` + style + `</head><body>
<h1>{{.Name}}</h1><p><a href="/jobs/{{.Summary.Attempt.Job}}">all of the job</a></p>
{{if not .Seal}}<p>The attempt has not ended; files are kept at its end.</p>{{end}}
<table><tr><th>file</th><th>bytes</th><th>SHA-256</th></tr>
{{range .Seal.GetArtefacts}}<tr><td><a href="{{file $.Summary .}}">{{.Path}}</a></td><td>{{.Size}}</td><td><code>{{printf "%x" .Sha256}}</code></td></tr>{{end}}
{{range .Seal.GetRefused}}<tr><td>{{.Path}}</td><td></td><td class="bad">not kept: {{.Reason}}</td></tr>{{end}}</table>
</body></html>`))

// jobPageData is the data of jobPage: one page of a job's attempts.
type jobPageData struct {
	Job         string
	Which       string // value of the query parameter
	Attempts    []*pb.Summary
	Unreachable []string
	Next        string // start of the next page; empty: last page
}

// filesPageData is the data of filesPage: the artefacts of an attempt.
type filesPageData struct {
	Name    string
	Summary *pb.Summary
	Seal    *pb.Seal // nil: the attempt has not ended
}

var templateFuncs = template.FuncMap{
	"mb":    func(bytes uint64) uint64 { return bytes >> 20 },
	"at":    lastOutputTime,
	"lines": func(s *pb.Summary) uint64 { return s.Tally.GetStdoutLines() + s.Tally.GetStderrLines() },
	"size":  func(s *pb.Summary) uint64 { return s.Tally.GetStdoutBytes() + s.Tally.GetStderrBytes() },
	"link":  func(s *pb.Summary, page string) string { return attemptLink(s.Attempt, page) },
	"file":  artefactLink,
}

// lastOutputTime returns the time of an attempt's last record, or "" if it has none.
func lastOutputTime(s *pb.Summary) string {
	if s.Tally.GetLastNs() == 0 {
		return ""
	}
	return time.Unix(0, s.Tally.LastNs).UTC().Format("2006-01-02 15:04:05Z")
}

// attemptLink returns the URL path and query of an attempt's page.
func attemptLink(a *pb.Attempt, page string) string {
	return fmt.Sprintf("/jobs/%s/%d/%s?try=%d&run=%x", a.Job, a.Task, page, a.Try, a.Run)
}

// artefactLink returns the URL path and query of an artefact's content.
func artefactLink(s *pb.Summary, f *pb.Artefact) string {
	path, query, _ := strings.Cut(attemptLink(s.Attempt, "artefacts"), "?")
	segments := strings.Split(f.Path, "/")
	for i := range segments {
		segments[i] = url.PathEscape(segments[i])
	}
	return path + "/" + strings.Join(segments, "/") + "?" + query
}

// render responds with a page. The page is rendered completely before it is sent, so
// that template errors can still be reported.
func render(c echo.Context, t *template.Template, data any) error {
	var b strings.Builder
	if err := t.Execute(&b, data); err != nil {
		return err
	}
	return c.HTML(http.StatusOK, b.String())
}
