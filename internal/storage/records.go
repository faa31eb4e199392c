package storage

import (
	"fmt"
	"strings"

	"reedtrack/internal/protocol"
)

// Keys of the state service. All that is live stands under Root, which every
// controller follows; ended jobs stand outside and are read when asked for.
const (
	Root       = "r/"
	LeaderKey  = "r/leader"
	TermKey    = "r/term"
	CatalogKey = "r/catalog"
	alive      = "r/alive/"
	shard      = "r/shard/"
	grant      = "r/grant/"
	job        = "r/job/"
	ended      = "e/"
)

func AliveKey(node string) string { return alive + node }
func ShardKey(i int) string       { return fmt.Sprintf("%s%d", shard, i) }
func GrantKey(i int) string       { return fmt.Sprintf("%s%d", grant, i) }
func JobKey(id string) string     { return job + id }
func EndedKey(id string) string   { return ended + id }

// CutJob, CutAlive, CutShard and CutGrant take keys apart.
func CutJob(key string) (string, bool)   { return strings.CutPrefix(key, job) }
func CutAlive(key string) (string, bool) { return strings.CutPrefix(key, alive) }
func CutShard(key string) (int, bool)    { return cutInt(key, shard) }
func CutGrant(key string) (int, bool)    { return cutInt(key, grant) }

func cutInt(key, prefix string) (int, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	var i int
	if ok {
		if _, err := fmt.Sscanf(rest, "%d", &i); err != nil {
			return 0, false
		}
	}
	return i, ok
}

// Node names a controller and its session, the lease it runs under.
type Node struct {
	Name    string `json:"name"`
	Session uint64 `json:"session"`
}

// Term is the last term that was minted.
type Term struct {
	N uint64 `json:"n"`
}

// Shard is the lease of a unit of jobs, blocks and quota shares.
type Shard struct {
	Holder Node   `json:"holder"`
	Term   uint64 `json:"term"`
}

// Amount is processors and accelerators.
type Amount struct {
	Cores float64 `json:"c"`
	Cards float64 `json:"g,omitempty"`
}

// Job is an accepted job that has not ended.
type Job struct {
	Spec  protocol.Job `json:"spec"`
	Shard int          `json:"shard"`
	AtMS  int64        `json:"at"`
	Done  string       `json:"done,omitempty"`
}

// End is what remains of a job.
type End struct {
	Status string `json:"status"`
	Done   int    `json:"done"`
}
