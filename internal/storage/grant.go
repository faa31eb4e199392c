package storage

import "encoding/json"

// MachineLease is a machine granted to a shard. Its fencing token is never below that of
// any earlier grant of the machine.
type MachineLease struct {
	Machine      string
	MachineType  string
	Zone         string
	Spot         bool
	FencingToken uint64
	GrantedAt    int64 // Unix time in seconds, rounded up
}

// Grant holds the machines granted to a shard and its shares of the teams' quotas. Both are
// stored in one record so that they change atomically. The machines are encoded in columns,
// because hundreds of them must fit into one value.
//
// From SchemaChunked on the record may contain only the quotas; the machines are then
// stored in the GrantChunks of the same Generation.
type Grant struct {
	Generation uint64 // 0: not split into chunks
	Machines   []MachineLease
	Quotas     map[string]Resources // by team
}

// GrantChunk holds some of a shard's machines. It is valid only while the shard's Grant has
// the same Generation: chunks are written sequentially, and the write of the Grant makes
// all of them valid atomically.
type GrantChunk struct {
	Generation uint64
	Machines   []MachineLease
}

type grantJSON struct {
	Machines leaseColumns         `json:"blocks"`
	Quotas   map[string]Resources `json:"shares"`
}

// chunkedGrantJSON is a grant whose machines are stored in chunks. A version that does not
// support chunks finds a string instead of machines, and so fails to decode the record
// rather than reading a grant without machines.
type chunkedGrantJSON struct {
	Machines   string               `json:"blocks"`
	Generation uint64               `json:"of"`
	Quotas     map[string]Resources `json:"shares"`
}

// machinesInChunks replaces the machines of a chunkedGrantJSON.
const machinesInChunks = "in pieces"

type grantChunkJSON struct {
	Generation uint64       `json:"of"`
	Machines   leaseColumns `json:"blocks"`
}

// MarshalJSON encodes the grant in columns, or without its machines if they are stored in
// chunks.
func (g Grant) MarshalJSON() ([]byte, error) {
	if g.Generation != 0 {
		return json.Marshal(chunkedGrantJSON{machinesInChunks, g.Generation, g.Quotas})
	}
	return json.Marshal(grantJSON{encodeLeases(g.Machines), g.Quotas})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (g *Grant) UnmarshalJSON(raw []byte) error {
	var chunked chunkedGrantJSON
	if json.Unmarshal(raw, &chunked) == nil && chunked.Machines == machinesInChunks && chunked.Generation != 0 {
		*g = Grant{Generation: chunked.Generation, Quotas: chunked.Quotas}
		return nil
	}
	var stored grantJSON
	machines, err := unmarshalLeases(raw, &stored, &stored.Machines)
	if err != nil {
		return err
	}
	*g = Grant{Machines: machines, Quotas: stored.Quotas}
	return nil
}

// MarshalJSON writes the chunk's machines in columns.
func (c GrantChunk) MarshalJSON() ([]byte, error) {
	return json.Marshal(grantChunkJSON{c.Generation, encodeLeases(c.Machines)})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (c *GrantChunk) UnmarshalJSON(raw []byte) error {
	var stored grantChunkJSON
	machines, err := unmarshalLeases(raw, &stored, &stored.Machines)
	if err != nil {
		return err
	}
	*c = GrantChunk{Generation: stored.Generation, Machines: machines}
	return nil
}

// unmarshalLeases decodes a stored record that contains columns, and returns their leases.
func unmarshalLeases(raw []byte, stored any, columns *leaseColumns) ([]MachineLease, error) {
	if err := json.Unmarshal(raw, stored); err != nil {
		return nil, err
	}
	return columns.decode()
}
