package storage

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func machineLeases() *rapid.Generator[MachineLease] {
	return rapid.Custom(func(t *rapid.T) MachineLease {
		prefix := rapid.SampledFrom([]string{"host-", "h", "ü", "other/"}).Draw(t, "prefix")
		return MachineLease{
			Machine:      prefix + fmt.Sprintf("%06d", rapid.IntRange(0, 999999).Draw(t, "machine")),
			MachineType:  rapid.SampledFrom([]string{"small", "big"}).Draw(t, "machine type"),
			Zone:         rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
			Spot:         rapid.Bool().Draw(t, "spot"),
			FencingToken: rapid.Uint64().Draw(t, "fencing token"),
			GrantedAt:    rapid.Int64Range(1.7e9, 1.8e9).Draw(t, "granted at"),
		}
	})
}

func mustMarshal(t *rapid.T, v any) []byte {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A grant decodes to what was encoded, and one more machine adds at most
// MaxMachineLeaseBytes.
func TestGrantRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leases := machineLeases()
		grant := Grant{
			Machines: rapid.SliceOf(leases).Draw(t, "machines"),
			Quotas:   map[string]Resources{"red": {Cores: 3.5}},
		}
		raw := mustMarshal(t, grant)
		var back Grant
		if err := json.Unmarshal(raw, &back); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(grant, back, cmpopts.EquateEmpty()); d != "" {
			t.Fatal(d)
		}
		if len(grant.Machines) == 0 {
			return
		}

		added := grant.Machines[0]
		added.Machine, added.FencingToken = "host-1000000", leases.Draw(t, "added").FencingToken
		longer := grant
		longer.Machines = append(grant.Machines[:len(grant.Machines):len(grant.Machines)], added)
		growth := len(mustMarshal(t, longer)) - len(raw)
		if bound := MaxMachineLeaseBytes(added.Machine); growth > bound {
			t.Fatalf("one more machine adds %d bytes, bounded by %d", growth, bound)
		}
	})
}

// A chunk, and the head of a grant in chunks, decode to what was encoded.
func TestGrantChunkRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunk := GrantChunk{
			Generation: rapid.Uint64Min(1).Draw(t, "generation"),
			Machines:   rapid.SliceOf(machineLeases()).Draw(t, "machines"),
		}
		var chunkBack GrantChunk
		if err := json.Unmarshal(mustMarshal(t, chunk), &chunkBack); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(chunk, chunkBack, cmpopts.EquateEmpty()); d != "" {
			t.Fatal(d)
		}

		grant := Grant{Generation: chunk.Generation, Quotas: map[string]Resources{"red": {Cores: 3.5}}}
		var grantBack Grant
		if err := json.Unmarshal(mustMarshal(t, grant), &grantBack); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(grant, grantBack, cmpopts.EquateEmpty()); d != "" {
			t.Fatal(d)
		}
	})
}

func TestGrantRejectsMalformedColumns(t *testing.T) {
	for name, malformed := range map[string]string{
		"list of objects": `{"blocks":[{"m":"a"}]}`,
		"missing columns": `{"blocks":{"names":["a"]}}`,
		"unknown kind":    `{"blocks":{"names":["0a"],"k":[1],"t":[1],"at":[0]}}`,
		"long prefix":     `{"blocks":{"kinds":[{"b":"x","z":"y"}],"names":["3a"],"k":[0],"t":[1],"at":[0]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			var grant Grant
			if json.Unmarshal([]byte(malformed), &grant) == nil {
				t.Errorf("%s was decoded as a grant", malformed)
			}
			var chunk GrantChunk
			if json.Unmarshal([]byte(malformed), &chunk) == nil {
				t.Errorf("%s was decoded as a chunk", malformed)
			}
		})
	}
}
