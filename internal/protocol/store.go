package protocol

import "encoding/json"

// KeyValue is a key in the store with its value.
type KeyValue struct {
	Key      string          `json:"path"`
	Value    json.RawMessage `json:"data"`
	Revision uint64          `json:"stamp"` // of the key's last change
}

// RangeResponse is a page of the keys under a prefix, in key order.
type RangeResponse struct {
	Items    []KeyValue `json:"items"`
	HasNext  bool       `json:"has_next"`
	Revision uint64     `json:"ledger"` // of the store
}

// Precondition requires that a key was last changed at the given revision; 0 requires
// that the key does not exist.
type Precondition struct {
	Key      string `json:"path"`
	Revision uint64 `json:"stamp"`
}

// Write is one operation of a transaction: either Put or Delete names the key.
type Write struct {
	Put     string `json:"put,omitempty"`
	Value   any    `json:"data,omitempty"`
	LeaseID uint64 `json:"hold,omitempty"` // lease that the key is bound to and deleted with; 0: none
	Delete  string `json:"delete,omitempty"`
}

// Txn is an atomic transaction. Its writes are applied only if all preconditions
// hold, and share one revision.
type Txn struct {
	Preconditions []Precondition `json:"when"`
	Writes        []Write        `json:"writes"`
}

// TxnResponse contains the store's revision after a transaction and the keys whose
// preconditions failed.
type TxnResponse struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed"`
}

// LeaseGrant is both the request for a lease, which sets its time to live, and the
// response, which sets its ID.
type LeaseGrant struct {
	LeaseID         uint64 `json:"hold,omitempty"`
	TTLMilliseconds int64  `json:"life_ms,omitempty"`
}

// Change is one entry of the store's change log: either Put or Delete names the
// key.
type Change struct {
	Put      string          `json:"put,omitempty"`
	Delete   string          `json:"delete,omitempty"`
	Value    json.RawMessage `json:"data,omitempty"`
	Revision uint64          `json:"stamp"`
}

// WatchResponse contains the changes after the revision that a watch started from.
type WatchResponse struct {
	Revision uint64   `json:"ledger"` // of the store
	Changes  []Change `json:"log"`
}
