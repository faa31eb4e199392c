package storage

import "reedtrack/internal/protocol"

// Controller identifies a controller and its session, which is the store lease under which
// it runs. Successive processes of one name have different sessions.
type Controller struct {
	Name    string `json:"name"`
	Session uint64 `json:"session"`
}

// FencingTokenCounter holds the last issued fencing token.
type FencingTokenCounter struct {
	Last uint64 `json:"n"`
}

// ShardLease records which controller holds a shard, a unit of jobs, machines and quota. It
// names the holder's session, and is invalid once that session has ended.
type ShardLease struct {
	Holder       Controller `json:"holder"`
	FencingToken uint64     `json:"term"`
}

// Resources is an amount of processor cores and of accelerators.
type Resources struct {
	Cores float64 `json:"c"`
	GPUs  float64 `json:"g,omitempty"`
}

// Job is an accepted job that has not ended.
type Job struct {
	Spec         protocol.Job `json:"spec"`
	Shard        int          `json:"shard"`
	AcceptedAtMS int64        `json:"at"` // Unix time in milliseconds
	// Completed is the text of the IndexSet of completed tasks. From SchemaChunked on
	// new ones go into CompletionChunks instead.
	Completed string `json:"done,omitempty"`
}

// EndedJob is the record of an ended job.
type EndedJob struct {
	Status    string `json:"status"`
	Completed int    `json:"done"` // number of completed tasks
	// EndedAtMS is the Unix time of the end, in milliseconds, from which jobs that
	// depended on this one count their time. SchemaWhole leaves it out.
	EndedAtMS int64 `json:"at,omitempty"`
	// IsService reports whether the job is a service. A service does not end on its own,
	// so no job can depend on it.
	IsService bool `json:"standing,omitempty"`
}

// CompletionChunk holds the completed tasks of a job from an index on. The chunks of a job
// cover disjoint ranges of indices.
type CompletionChunk struct {
	FirstIndex int    `json:"from"`
	Completed  string `json:"done"` // see IndexSet.EncodeChunk
}

// CatalogChunk is part of a machine catalog that is too large for one value. All chunks
// are written in one transaction, and so have one revision.
type CatalogChunk struct {
	ChunkCount   int                    `json:"of"`
	MachineTypes []protocol.MachineType `json:"breeds"`
}

// Delegation lists machines of a shard whose heartbeats a controller, the heartbeat proxy,
// answers or will answer in place of the shard's holder. It is written under the lease of
// the proxy's session. While it exists, no controller may conclude from the machines'
// silence that their tasks have ended. The proxy answers once the holder has written the
// DelegationAck for this revision of the record.
type Delegation struct {
	Session      uint64   `json:"session"`
	FencingToken uint64   `json:"term"` // the shard's token known to the proxy
	Machines     []string `json:"machines"`
}

// DelegationAck is the holder's acknowledgement of a Delegation: the holder treats these
// machines as delegated, and no direct start to one of them can be executed after the proxy
// has answered the machine. It is written under the lease of the holder's session.
type DelegationAck struct {
	DelegationRevision uint64         `json:"of"`
	Session            uint64         `json:"session"`
	FencingToken       uint64         `json:"term"`
	Machines           []string       `json:"machines"`
	Fences             []MachineFence `json:"fences,omitempty"` // from SchemaMachineFences on
}

// MachineFence is a newer fencing token of a machine to which direct starts are unanswered.
// The transaction that writes the first DelegationAck with the token issues it. A worker
// that has received the token rejects those starts.
type MachineFence struct {
	Machine      string        `json:"m"`
	FencingToken uint64        `json:"t"`
	Starts       []FencedStart `json:"s,omitempty"` // those that were unanswered
}

// ShardFence is a newer fencing token of all machines of a shard, which its holder issues so
// that workers reject the direct messages that it sent them under lower tokens. It is written
// under the lease of the holder's session.
type ShardFence struct {
	Session      uint64 `json:"session"`
	ShardToken   uint64 `json:"term"` // the shard's token, under which the holder holds it
	FencingToken uint64 `json:"t"`
}

// FencedStart identifies an attempt of a task whose start was sent directly.
type FencedStart struct {
	Task    string `json:"p"`
	Attempt uint64 `json:"n"`
}
