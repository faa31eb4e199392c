//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"reedtrack/internal/emulator"
)

// machineKind is a machine type of prairie-puzzle-trust.
type machineKind struct {
	name        string
	cores, ram  float64
	cacheGB     float64
	fetchRate   float64 // GB a second
	price       float64
	spotPrice   float64
	bootSeconds int
}

var (
	gopher = machineKind{"gopher", 4, 16, 35, 0.25, 0.27, 0.09, 25}
	badger = machineKind{"badger", 8, 16, 50, 0.25, 0.5, 0.17, 20}
	bison  = machineKind{"bison", 32, 256, 35, 0.4, 2.4, 0.86, 50}
	kinds  = []machineKind{gopher, badger, bison}
)

// offer is what the cloud rents of one type in one zone, as ordinary or as spot machines.
type offer struct {
	breed string
	yard  string
	spot  bool
}

// quickBoot is the time until a rented machine is up: "at times machines are up within a
// second or two".
const quickBoot = 2 * time.Second

const (
	reportSeconds = 3.0
	leaseSeconds  = 29.0
	maxBytes      = 64 << 10 // of a request's body, and of a line of a response
)

// platform holds the state service and the cloud with its workers.
type platform struct {
	r           *caseRun
	stock       map[offer]int     // machines that may exist at a time
	controllers map[string]string // addresses for workers and users, by name
	jobs        map[string]jobSpec

	mu      sync.Mutex
	last    int
	rented  map[string][]string // answers by request name
	workers map[string]*worker
}

// startState serves the project's emulator of the state service, with the limits of the site.
func startState(r *caseRun) (address string, err error) {
	l, address, err := listen()
	if err != nil {
		return "", err
	}
	store := emulator.NewKVStore()
	store.SetLimits(16<<10, 12, 60)
	go http.Serve(l, store)
	r.logf("state service at %s", address)
	return address, nil
}

// startCloud serves the cloud.
func (p *platform) startCloud() (address string, err error) {
	l, address, err := listen()
	if err != nil {
		return "", err
	}
	go http.Serve(l, p)
	p.r.logf("cloud at %s", address)
	return address, nil
}

// boot makes a machine that is up after the given time.
func (p *platform) boot(o offer, after time.Duration) string {
	p.last++
	w := newWorker(p, fmt.Sprintf("host-%06d", p.last), o)
	p.workers[w.id] = w
	time.AfterFunc(after, w.run)
	return w.id
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (p *platform) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(req.Body, 64<<10))
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case req.URL.Path == "/catalog":
		var breeds []any
		for _, k := range kinds {
			yards := []string{"saskatoon"}
			if k.name == badger.name {
				yards = append(yards, "regina")
			}
			breeds = append(breeds, map[string]any{"sku": k.name, "cores": k.cores, "cards": 0, "ram_gb": k.ram, "local_gb": k.cacheGB,
				"fetch_gb_per_s": k.fetchRate, "rate": k.price, "low_price": k.spotPrice, "ready_s": k.bootSeconds, "yards": yards})
		}
		writeJSON(w, 200, map[string]any{"breeds": breeds})
	case req.URL.Path == "/machines" && req.Method == http.MethodPost:
		p.rent(w, body)
	case req.URL.Path == "/machines/release":
		var names struct {
			Reeds []string `json:"reeds"`
		}
		json.Unmarshal(body, &names)
		for _, id := range names.Reeds {
			if m := p.workers[id]; m != nil {
				m.stop()
				delete(p.workers, id)
				p.r.logf("cloud: %s released", id)
			}
		}
		writeJSON(w, 200, struct{}{})
	case req.URL.Path == "/machines":
		p.list(w, req.URL.Query().Get("since"))
	default:
		writeJSON(w, 404, struct{}{})
	}
}

// rent rents machines as far as there are any.
func (p *platform) rent(w http.ResponseWriter, body []byte) {
	var ask struct {
		Ask     string `json:"ask"`
		Breed   string `json:"breed"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		HowMany int    `json:"how_many"`
	}
	if json.Unmarshal(body, &ask) != nil || ask.Ask == "" || ask.HowMany < 1 || ask.HowMany > 50 {
		writeJSON(w, 400, map[string]string{"error": "malformed"})
		return
	}
	if names := p.rented[ask.Ask]; names != nil {
		writeJSON(w, 200, map[string]any{"reeds": names})
		return
	}
	o := offer{ask.Breed, ask.Yard, ask.Loaners}
	room := p.stock[o]
	for _, m := range p.workers {
		if m.offer == o {
			room--
		}
	}
	if room <= 0 {
		p.r.logf("cloud: asked for %d %s in %s, loaners %v: no capacity", ask.HowMany, ask.Breed, ask.Yard, ask.Loaners)
		writeJSON(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	var names []string
	for range min(room, ask.HowMany) {
		names = append(names, p.boot(o, quickBoot))
	}
	p.rented[ask.Ask] = names
	p.r.logf("cloud: rented %s in %s, loaners %v: %v", ask.Breed, ask.Yard, ask.Loaners, names)
	writeJSON(w, 200, map[string]any{"reeds": names})
}

func (p *platform) list(w http.ResponseWriter, since string) {
	list := []map[string]any{}
	for id, m := range p.workers {
		if id <= since {
			continue
		}
		status := "starting"
		if m.address() != "" {
			status = "running"
		}
		list = append(list, map[string]any{"id": id, "address": m.address(), "breed": m.offer.breed, "yard": m.offer.yard, "loaners": m.offer.spot,
			"status": status, "age_s": time.Since(m.begun).Seconds()})
	}
	sort.Slice(list, func(i, j int) bool { return list[i]["id"].(string) < list[j]["id"].(string) })
	writeJSON(w, 200, map[string]any{"reeds": list, "has_next": false})
}

// jobSpec is what a worker knows of a job.
type jobSpec struct {
	id    string
	team  string
	class string
	urg   string
	parts int
	runS  float64
	cores float64 // of a task
	ram   float64
	breed string // the only machine type that it may use
	spot  bool   // it may use spot machines
}

// json returns the submission of a job.
func (j jobSpec) json() string {
	return fmt.Sprintf(`{"id":%q,"jobclass":%q,"owner":%q,"shape":"array","urgency":%q,"parts":%d,"cores":%g,"cards":0.0,"ram_gb":%g,`+
		`"bundle":"img-01","pull_gb":0.2,"breeds":[%q],"yard":null,"one_zone":false,"spread":false,"loaners":%v,`+
		`"guess_s":%.1f,"save_every_s":0.0,"save_takes_s":0.0,"due_s":null}`, j.id, j.class, j.team, j.urg, j.parts, j.cores, j.ram, j.breed, j.spot, j.runS)
}

// submit sends a submission, as a user does, until it is accepted: first to the controller
// of the given number, then to the next.
func (p *platform) submit(j jobSpec, first int, limit time.Duration) bool {
	names := []string{"reed-0", "reed-1", "reed-2"}
	client := http.Client{Timeout: 5 * time.Second}
	end := time.Now().Add(limit)
	for i := first; time.Now().Before(end); i++ {
		resp, err := client.Post("http://"+p.controllers[names[i%3]]+"/v1/jobs", "application/json", strings.NewReader(j.json()))
		if err == nil {
			raw, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			p.r.logf("user: POST /v1/jobs %s (%s, %d tasks) at %s: %d %s", j.id, j.class, j.parts, names[i%3], resp.StatusCode, strings.TrimSpace(string(raw)))
			if resp.StatusCode == 200 || resp.StatusCode == 201 {
				return true
			}
			if resp.StatusCode == 400 || resp.StatusCode == 422 {
				return false
			}
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks every controller in turn for a job until one answers, and returns its status.
func (p *platform) poll(id string) string {
	client := http.Client{Timeout: 2 * time.Second}
	for _, name := range []string{"reed-0", "reed-1", "reed-2"} {
		resp, err := client.Get("http://" + p.controllers[name] + "/v1/jobs/" + id)
		if err != nil {
			continue
		}
		var status struct {
			Status string `json:"status"`
		}
		json.NewDecoder(resp.Body).Decode(&status)
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return status.Status
		}
	}
	return ""
}

// startDeployment starts the platform and three controllers. The machines of up are up at
// the start.
func startDeployment(r *caseRun, stock map[offer]int, up ...offer) (*platform, error) {
	state, err := startState(r)
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(6)
	if err != nil {
		return nil, err
	}
	public, peers := addresses[:3], addresses[3:]
	p := &platform{r: r, stock: stock, controllers: map[string]string{}, jobs: map[string]jobSpec{}, rented: map[string][]string{}, workers: map[string]*worker{}}
	cloud, err := p.startCloud()
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		name := fmt.Sprintf("reed-%d", i)
		p.controllers[name] = public[i]
		file, err := r.writeFile(name+".toml", controllerSettings(i, public, peers, cloud, state))
		if err != nil {
			return nil, err
		}
		if err := r.start(name, "reedtrack", "--config", file); err != nil {
			return nil, err
		}
	}
	p.mu.Lock()
	for _, o := range up {
		p.boot(o, 0)
	}
	p.mu.Unlock()
	return p, nil
}

// describe tells the workers what a job is, as users do.
func (p *platform) describe(jobs ...jobSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range jobs {
		p.jobs[j.id] = j
	}
}

// machines returns the machines that exist.
func (p *platform) machines() (list []*worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		list = append(list, w)
	}
	return list
}

// kindOf returns the machine type of that name.
func kindOf(name string) machineKind {
	for _, k := range kinds {
		if k.name == name {
			return k
		}
	}
	return machineKind{}
}
