//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// breed is a machine type of the catalog.
type breed struct {
	SKU      string   `json:"sku"`
	Cores    float64  `json:"cores"`
	Cards    float64  `json:"cards"`
	RAM      float64  `json:"ram_gb"`
	Local    float64  `json:"local_gb"`
	Fetch    float64  `json:"fetch_gb_per_s"`
	Rate     float64  `json:"rate"`
	LowPrice float64  `json:"low_price"`
	Ready    float64  `json:"ready_s"`
	Yards    []string `json:"yards"`
}

// kind is a machine type in a zone, spot or ordinary.
type kind struct {
	breed, yard string
	loaners     bool
}

// cloud is the stand-in of the cloud. Its fields are guarded by rig.mu.
type cloud struct {
	rig      *rig
	last     int
	machines map[string]*worker // also those that are gone, for the lagging list
	asks     map[string][]string
	ended    bool
}

func newCloud(r *rig) *cloud {
	return &cloud{rig: r, machines: map[string]*worker{}, asks: map[string][]string{}}
}

// bootInitial boots the machines that are up when the run begins.
func (c *cloud) bootInitial() {
	c.rig.mu.Lock()
	defer c.rig.mu.Unlock()
	for _, k := range c.rig.site.upAtStart {
		w := c.rent(k)
		w.created = time.Now().Add(-10 * time.Minute)
		w.boot(0)
	}
}

// rent creates a machine. The caller holds rig.mu.
func (c *cloud) rent(k kind) *worker {
	c.last++
	w := newWorker(c.rig, fmt.Sprintf("host-%06d", c.last), k)
	c.machines[w.id] = w
	return w
}

func (c *cloud) breedOf(name string) *breed {
	for i := range c.rig.site.breeds {
		if c.rig.site.breeds[i].SKU == name {
			return &c.rig.site.breeds[i]
		}
	}
	return nil
}

// ServeHTTP implements the cloud's interface.
func (c *cloud) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	c.rig.mu.Lock()
	defer c.rig.mu.Unlock()
	switch {
	case req.URL.Path == "/catalog":
		reply(w, http.StatusOK, map[string]any{"breeds": c.rig.site.breeds})
	case req.URL.Path == "/machines" && req.Method == http.MethodPost:
		c.serveRent(w, body)
	case req.URL.Path == "/machines/release":
		c.serveRelease(w, body)
	case req.URL.Path == "/machines":
		limit, _ := strconv.Atoi(req.URL.Query().Get("limit"))
		c.serveList(w, req.URL.Query().Get("since"), limit)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (c *cloud) serveRent(w http.ResponseWriter, body []byte) {
	var ask struct {
		Ask     string `json:"ask"`
		Breed   string `json:"breed"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		HowMany int    `json:"how_many"`
	}
	k := kind{}
	if json.Unmarshal(body, &ask) != nil || ask.Ask == "" || ask.HowMany < 1 || ask.HowMany > 50 || c.breedOf(ask.Breed) == nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	if names, ok := c.asks[ask.Ask]; ok {
		reply(w, http.StatusOK, map[string]any{"reeds": names})
		return
	}
	k = kind{ask.Breed, ask.Yard, ask.Loaners}
	have := 0
	for _, m := range c.machines {
		if m.kind == k && m.goneAt.IsZero() {
			have++
		}
	}
	var names []string
	for range min(ask.HowMany, c.rig.site.capacity[k]-have) {
		m := c.rent(k)
		m.boot(time.Duration(c.breedOf(k.breed).Ready * float64(time.Second)))
		names = append(names, m.id)
	}
	c.rig.note("cloud: POST /machines %s: %v", body, names)
	if len(names) == 0 {
		reply(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
		return
	}
	c.asks[ask.Ask] = names
	reply(w, http.StatusOK, map[string]any{"reeds": names})
}

func (c *cloud) serveRelease(w http.ResponseWriter, body []byte) {
	var names struct{ Reeds []string }
	json.Unmarshal(body, &names)
	c.rig.note("cloud: POST /machines/release %s", body)
	for _, id := range names.Reeds {
		if m := c.machines[id]; m != nil && m.goneAt.IsZero() {
			m.remove()
		}
	}
	reply(w, http.StatusOK, map[string]any{})
}

// serveList lists the machines as they were list_lag_s ago.
func (c *cloud) serveList(w http.ResponseWriter, since string, limit int) {
	at := time.Now().Add(-time.Duration(c.rig.site.listLagS * float64(time.Second)))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	var ids []string
	for id, m := range c.machines {
		gone := !m.goneAt.IsZero() && !m.goneAt.After(at)
		if id > since && !m.created.After(at) && !gone {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	more := len(ids) > limit
	ids = ids[:min(len(ids), limit)]
	list := []map[string]any{}
	for _, id := range ids {
		m := c.machines[id]
		status := "starting"
		if !m.upAt.IsZero() && !m.upAt.After(at) {
			status = "running"
		}
		list = append(list, map[string]any{"id": id, "address": m.address, "breed": m.kind.breed, "yard": m.kind.yard,
			"loaners": m.kind.loaners, "status": status, "age_s": at.Sub(m.created).Seconds()})
	}
	reply(w, http.StatusOK, map[string]any{"reeds": list, "has_next": more})
}

// reply sends a response as JSON.
func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if value != nil {
		json.NewEncoder(w).Encode(value)
	}
}

// splitPart splits the name of a task into its job and its number.
func splitPart(part string) (string, int) {
	id, number, _ := strings.Cut(part, "/")
	n, _ := strconv.Atoi(number)
	return id, n
}
