package protocol

import "encoding/json"

// Item is a key of the state service with its value.
type Item struct {
	Path  string          `json:"path"`
	Data  json.RawMessage `json:"data"`
	Stamp uint64          `json:"stamp"`
}

// Items is a page of keys.
type Items struct {
	Items   []Item `json:"items"`
	HasNext bool   `json:"has_next"`
	Ledger  uint64 `json:"ledger"`
}

// Cond requires a key's version; 0 that the key does not exist.
type Cond struct {
	Path  string `json:"path"`
	Stamp uint64 `json:"stamp"`
}

// Write is one change of a transaction.
type Write struct {
	Put    string `json:"put,omitempty"`
	Data   any    `json:"data,omitempty"`
	Hold   uint64 `json:"hold,omitempty"`
	Delete string `json:"delete,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	When   []Cond  `json:"when"`
	Writes []Write `json:"writes"`
}

// TxnResult tells a transaction's revision, or what failed.
type TxnResult struct {
	Ledger uint64   `json:"ledger"`
	Failed []string `json:"failed"`
}

// Grant is a lease of the state service.
type Grant struct {
	Hold   uint64 `json:"hold,omitempty"`
	LifeMS int64  `json:"life_ms,omitempty"`
}

// Change is one entry of the state service's log.
type Change struct {
	Put    string          `json:"put,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// Changes answers a watch.
type Changes struct {
	Ledger uint64   `json:"ledger"`
	Log    []Change `json:"log"`
}
