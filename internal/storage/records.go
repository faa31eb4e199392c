package storage

import (
	"fmt"
	"strconv"
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

	// The keys below are of forms that former versions don't know; they
	// pass them over.
	FormKey = "r/form"
	mark    = "r/mark/"
	piece   = "r/piece/"
	part    = "r/done/"
	deputy  = "r/deputy/"
	confirm = "r/named/"
)

// Forms of records. FormWhole is what the first versions write: one record a
// shard, and what is done of a job in the job's own. FormSplit divides both
// over values of any size and lets jobs wait for others. With FormDeputies a
// controller may answer for a holder that it does not reach: every holder knows
// what a Deputy record means.
const (
	FormWhole    = 1
	FormSplit    = 2
	FormDeputies = 3
	FormNewest   = FormDeputies
)

// Form says in which form records may be written: it is set once every
// controller has left its Mark, and never back.
type Form struct {
	Form int `json:"form"`
}

// Mark says that a controller has run a version that knows a form.
type Mark = Form

// Deputy names machines of a shard whose reports a controller answers, or is about
// to, in place of the shard's holder. It hangs on the controller's session. While it
// stands nobody takes the machines' silence for the end of their tasks. The deputy
// answers once the holder has confirmed this very record, see Confirmation.
type Deputy struct {
	Session  uint64   `json:"session"`
	Term     uint64   `json:"term"` // of the shard, as the deputy knows it
	Machines []string `json:"machines"`
}

// Confirmation is the holder's word to a deputy's record: it knows that the machines
// are named, and no start that it sent straight to one of these may still arrive. It
// hangs on the holder's session.
type Confirmation struct {
	Stamp    uint64   `json:"of"` // of the deputy's record
	Session  uint64   `json:"session"`
	Term     uint64   `json:"term"`
	Machines []string `json:"machines"`
}

// Piece holds some of a shard's blocks. It counts only while the shard's grant
// names the same Of: pieces are staged one after the other, and the grant's
// one write makes them count together.
type Piece struct {
	Of     uint64
	Blocks []Block
}

// Part is what is done of a job's tasks from a number on, see Set.Part.
type Part struct {
	From int    `json:"from"`
	Done string `json:"done"`
}

// CatalogPart is some of a catalog that is larger than a value. All its parts
// are written in one transaction, and so have one stamp.
type CatalogPart struct {
	Of     int              `json:"of"`
	Breeds []protocol.Breed `json:"breeds"`
}

func CatalogPartKey(i int) string           { return fmt.Sprintf("%s/%d", CatalogKey, i) }
func CutCatalogPart(key string) (int, bool) { return cutInt(key, CatalogKey+"/") }
func MarkKey(node string) string            { return mark + node }
func PieceKey(i, k int) string              { return fmt.Sprintf("%s%d/%d", piece, i, k) }
func PartKey(id string, from int) string    { return fmt.Sprintf("%s%s/%d", part, id, from) }
func CutMark(key string) (string, bool)     { return strings.CutPrefix(key, mark) }
func CutPiece(key string) (i, k int, ok bool) {
	rest, ok := strings.CutPrefix(key, piece)
	if !ok {
		return 0, 0, false
	}
	n, _ := fmt.Sscanf(rest, "%d/%d", &i, &k)
	return i, k, n == 2
}

// DeputyID names a deputy's record: a shard, the deputy, and which of its records.
type DeputyID struct {
	Shard  int
	Node   string
	Record int
}

func (d DeputyID) path(prefix string) string {
	return fmt.Sprintf("%s%d/%s/%d", prefix, d.Shard, d.Node, d.Record)
}

// DeputyKey is where a deputy names machines, ConfirmKey where the holder confirms
// that.
func DeputyKey(d DeputyID) string  { return d.path(deputy) }
func ConfirmKey(d DeputyID) string { return d.path(confirm) }

// CutDeputy and CutConfirm take such keys apart.
func CutDeputy(key string) (DeputyID, bool)  { return cutDeputy(key, deputy) }
func CutConfirm(key string) (DeputyID, bool) { return cutDeputy(key, confirm) }

func cutDeputy(key, prefix string) (DeputyID, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return DeputyID{}, false
	}
	number, rest, _ := strings.Cut(rest, "/")
	slash := strings.LastIndexByte(rest, '/')
	if slash < 0 {
		return DeputyID{}, false
	}
	shard, err := strconv.Atoi(number)
	record, err2 := strconv.Atoi(rest[slash+1:])
	return DeputyID{shard, rest[:slash], record}, err == nil && err2 == nil
}

// CutPart takes the key of a part apart.
func CutPart(key string) (id string, from int, ok bool) {
	rest, ok := strings.CutPrefix(key, part)
	id, num, some := strings.Cut(rest, "/")
	from, err := strconv.Atoi(num)
	return id, from, ok && some && err == nil
}

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
	// AtMS is when the job ended, from which jobs that waited for it count
	// their time; former versions left it out.
	AtMS int64 `json:"at,omitempty"`
	// Standing jobs can't be waited for.
	Standing bool `json:"standing,omitempty"`
}
