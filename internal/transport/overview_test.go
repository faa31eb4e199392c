package transport

import (
	"strings"
	"testing"
)

// staticOverview is an OverviewProvider that returns itself.
type staticOverview Overview

func (o staticOverview) Overview() Overview { return Overview(o) }

// The status page links jobs to their outputs if the URL of the outputs is configured.
func TestOverviewOutputLinks(t *testing.T) {
	jobs := []JobView{{ID: "wk-000007"}}
	render := func(o staticOverview) string {
		return serveRequest(NewOperatorServer(o).Handler, "GET", "/", "").Body.String()
	}
	t.Run("outputs known", func(t *testing.T) {
		const link = `<a href="http://stores:8110/jobs/wk-000007">wk-000007</a>`
		if page := render(staticOverview{Jobs: jobs, OutputsURL: "http://stores:8110"}); !strings.Contains(page, link) {
			t.Error(page)
		}
	})
	t.Run("outputs unknown", func(t *testing.T) {
		page := render(staticOverview{Jobs: jobs})
		if strings.Contains(page, "<a href=\"/jobs") || !strings.Contains(page, "<td>wk-000007</td>") {
			t.Error(page)
		}
	})
}
