package protocol

// Limits of the cloud API.
const (
	MaxMachinesPerRequest = 50  // in one MachineRequest
	MaxMachinesPerRelease = 100 // in one release request
	MaxMachinesPerPage    = 500 // in one page of a MachineList
)

// MachineType is a machine type of the cloud's catalog.
type MachineType struct {
	Name             string   `json:"sku"`
	Cores            float64  `json:"cores"`
	GPUs             float64  `json:"cards"`
	MemoryGB         float64  `json:"ram_gb"`
	ImageCacheGB     float64  `json:"local_gb"`
	FetchGBPerSecond float64  `json:"fetch_gb_per_s"` // image download rate
	HourlyRate       float64  `json:"rate"`           // price of an on-demand machine
	SpotHourlyRate   float64  `json:"low_price"`      // current price of a spot machine
	BootSeconds      float64  `json:"ready_s"`        // nominal time from request to first heartbeat
	Zones            []string `json:"yards"`          // zones that offer the type
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	MachineTypes []MachineType `json:"breeds"`
}

// MachineRequest requests machines from the cloud.
type MachineRequest struct {
	// RequestID makes the request idempotent: one that was granted gets the same
	// response again. No controller may reuse it for another request.
	RequestID   string `json:"ask"`
	MachineType string `json:"breed"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"how_many"` // at most MaxMachinesPerRequest
}

// MachineNames is the response to a MachineRequest, with the machines granted,
// which may be fewer than requested, and the body of a release request.
type MachineNames struct {
	Machines []string `json:"reeds"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	ID          string  `json:"id"`
	Address     string  `json:"address"`
	MachineType string  `json:"breed"`
	Zone        string  `json:"yard"`
	Spot        bool    `json:"loaners"`
	Status      string  `json:"status"`
	AgeSeconds  float64 `json:"age_s"` // since the request, as of the list's snapshot
}

// MachineList is a page of the cloud's machine list, ordered by machine ID. The
// list is eventually consistent: new machines may be missing from it and released
// ones may still be in it.
type MachineList struct {
	Machines []ListedMachine `json:"reeds"`
	HasNext  bool            `json:"has_next"`
}
