package outputs

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "reedtrack/internal/outputs/outputsv1"
)

// FuzzUnpack checks that arbitrary bytes received as a block or as a key are either
// rejected or valid, and never cause a panic.
func FuzzUnpack(f *testing.F) {
	good := Pack([]*pb.Record{{Seq: 4, AtNs: 9, Stream: 1, Data: []byte("a\n")}, {Seq: 5, Stream: 2, Data: []byte("b")}}, false)
	raw, _ := proto.Marshal(good)
	key := Key(&pb.Attempt{Job: "wk-1", Team: "red", Machine: "m", Run: RunFromSecret([]byte("0123456789abcdef"))})
	f.Add(raw, key)
	f.Add(raw[:len(raw)/2], key[:10])
	f.Add([]byte{}, []byte{0, 0, 0})
	f.Fuzz(func(t *testing.T, raw, key []byte) {
		b := new(pb.Block)
		if proto.Unmarshal(raw, b) == nil {
			if records, err := Unpack(b); err == nil {
				if len(records) != int(b.Count) || records[0].Seq != b.First {
					t.Fatalf("unpacked %d records from %d, want %d from %d", len(records), records[0].Seq, b.Count, b.First)
				}
				again, err := Unpack(Pack(records, true))
				if err != nil || len(again) != len(records) || CountRecords(again).StdoutBytes != CountRecords(records).StdoutBytes {
					t.Fatalf("round trip changed the records; error %v", err)
				}
			}
		}
		if a, err := ParseKey(key); err == nil && !bytes.Equal(Key(a), key) {
			t.Fatalf("key %q parsed as %v, whose key differs", key, a)
		}
		Route(key)
	})
}
