package outputs

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"unicode"
	"unicode/utf8"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/seeded"
)

func TestMain(m *testing.M) {
	seeded.Main(m)
}

// Escaped output and escaped file names contain only printable text, whatever bytes a
// task writes, and different paths have different escaped names.
func TestEscapedTextHasNoControlCharacters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.OneOf(rapid.Byte(), rapid.SampledFrom([]byte("\x1b[31m\r\n\t\\\x9b\xc2\x9b\xe2\x80\xae\x07\x00")))).Draw(t, "text")
		shown := Escape(nil, text)
		if !utf8.Valid(shown) {
			t.Fatalf("escaped text %q is not UTF-8", shown)
		}
		for _, r := range string(shown) {
			if r != '\n' && r != '\t' && !unicode.IsPrint(r) {
				t.Fatalf("escaped text of %q contains %q", text, r)
			}
		}
		other := rapid.SliceOf(rapid.SampledFrom([]byte("a\\x0\x1b\xff\n{}u"))).Draw(t, "other")
		name, otherName := EscapePath(string(text)), EscapePath(string(other))
		if (name == otherName) != bytes.Equal(text, other) {
			t.Fatalf("paths %q and %q are escaped as %q and %q", text, other, name, otherName)
		}
		if name != "" && strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) }) {
			t.Fatalf("path %q is escaped as %q, which is not printable", text, name)
		}
	})
	if got := string(Escape(nil, []byte("a\r\n\x1b[2Jb\xc2\x9b1m \u202eevil \xff\\"))); got != "a\n\\x1b[2Jb\\u{9b}1m \\u{202e}evil \\xff\\\\" {
		t.Errorf("escaped text is %s", got)
	}
}

// The operations on Spans match those on a plain set of integers.
func TestSpansBehaveLikeSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Spans
		set := map[uint64]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			from := rapid.Uint64Range(0, 40).Draw(t, "from")
			to := from + rapid.Uint64Range(0, 8).Draw(t, "len")
			add := rapid.Bool().Draw(t, "add")
			for i := from; i < to; i++ {
				if add {
					set[i] = true
				} else {
					delete(set, i)
				}
			}
			if add {
				s = s.Add(from, to)
			} else {
				s = s.Remove(from, to)
			}
		}
		for i, x := range s {
			if x.From >= x.To || i > 0 && s[i-1].To >= x.From {
				t.Fatalf("spans %v are not sorted and disjoint", s)
			}
		}
		missing := s.Missing(0, 60)
		for i := range uint64(60) {
			until, after := i, uint64(0)
			for set[until] {
				until++
			}
			has := false
			for j := i; j < 60 && !has; j++ {
				if set[j] {
					after, has = j, true
				}
			}
			gotAfter, gotHas := s.Next(i)
			if (s.SpanEnd(i) > i) != set[i] || s.SpanEnd(i) != until || (missing.SpanEnd(i) > i) == set[i] || gotHas != has || has && gotAfter != after {
				t.Fatalf("at %d in %v: span end %d, next %d", i, s, s.SpanEnd(i), gotAfter)
			}
		}
		if int(s.Count()) != len(set) {
			t.Fatalf("count of %v is %d, want %d", s, s.Count(), len(set))
		}
	})
}

// A key decodes to its attempt and sorts in listing order; all attempts of a task have
// the same route.
func TestKeyRoundTripAndOrder(t *testing.T) {
	a := &pb.Attempt{Job: "wk-000412", Task: 3, Try: 2, Team: "red", Machine: "host-1", Stint: 4, Run: RunFromSecret([]byte("0123456789abcdef"))}
	got, err := ParseKey(Key(a))
	if err != nil || !proto.Equal(got, a) {
		t.Fatalf("parsed %v, want %v; error %v", got, a, err)
	}
	b := proto.CloneOf(a)
	b.Try, b.Machine = 9, "host-2"
	if !bytes.Equal(Route(Key(a)), Route(Key(b))) || bytes.Compare(Key(a), Key(b)) >= 0 {
		t.Error("a later try has a different route or a smaller key")
	}
	b.Task = 4
	if bytes.Equal(Route(Key(a)), Route(Key(b))) {
		t.Error("different tasks have the same route")
	}
	if !OwnsAttempt(a, []byte("0123456789abcdef")) || OwnsAttempt(a, []byte("0123456789abcdeF")) || OwnsAttempt(a, nil) {
		t.Error("OwnsAttempt rejects the right secret or accepts a wrong one")
	}
	for _, bad := range []func(*pb.Attempt){func(a *pb.Attempt) { a.Job = "x" }, func(a *pb.Attempt) { a.Team = "a b" }, func(a *pb.Attempt) { a.Machine = "a\x00b" },
		func(a *pb.Attempt) { a.Team = "../x" }, func(a *pb.Attempt) { a.Task = 100000 }, func(a *pb.Attempt) { a.Run = a.Run[:3] }, func(a *pb.Attempt) { a.Machine = strings.Repeat("x", 101) }} {
		c := proto.CloneOf(a)
		bad(c)
		if CheckAttempt(c) == nil {
			t.Errorf("invalid attempt %v was accepted", c)
		}
	}
	for _, raw := range [][]byte{nil, {}, []byte("wk-1"), Key(a)[:20], append(Key(a), 1)} {
		if _, err := ParseKey(raw); err == nil {
			t.Errorf("invalid key %q was accepted", raw)
		}
	}
}

// Unpack rejects a block, and UnpackChunk a chunk, if any part of it is invalid.
func TestUnpackRefusesInvalidBlocks(t *testing.T) {
	good := func() []*pb.Record {
		return []*pb.Record{{Seq: 4, Stream: 1, Data: []byte("a\n")}, {Seq: 5, Stream: 2, Data: []byte("b")}}
	}
	if rs, err := Unpack(Pack(good(), true)); err != nil || len(rs) != 2 || CountRecords(rs).StdoutLines != 1 || CountRecords(rs).StderrBytes != 1 {
		t.Fatal(rs, err)
	}
	for name, change := range map[string]func([]*pb.Record, *pb.Block){
		"order":     func(r []*pb.Record, _ *pb.Block) { r[1].Seq = 7 },
		"stream":    func(r []*pb.Record, _ *pb.Block) { r[1].Stream = 9 },
		"gap":       func(r []*pb.Record, _ *pb.Block) { r[1].Stream, r[1].Data = 3, []byte{0xff} },
		"long":      func(r []*pb.Record, _ *pb.Block) { r[1].Data = make([]byte, MaxRecord+1) },
		"count":     func(_ []*pb.Record, b *pb.Block) { b.Count = 3 },
		"first":     func(_ []*pb.Record, b *pb.Block) { b.First = 3 },
		"overflow":  func(_ []*pb.Record, b *pb.Block) { b.First = 1<<64 - 1 },
		"not zstd":  func(_ []*pb.Record, b *pb.Block) { b.Zstd = []byte("plain") },
		"zip bomb":  func(_ []*pb.Record, b *pb.Block) { b.Zstd = Compress(make([]byte, 64<<20), false) },
		"no record": func(_ []*pb.Record, b *pb.Block) { b.Count, b.Zstd = 0, Compress(nil, false) },
	} {
		t.Run(name, func(t *testing.T) {
			rs := good()
			change(rs, new(pb.Block))
			b := Pack(rs, false)
			change(good(), b)
			if _, err := Unpack(b); err == nil {
				t.Error("the invalid block was accepted")
			}
		})
	}
	c := PackChunk([]byte("data"))
	if _, err := UnpackChunk(c); err != nil {
		t.Fatal(err)
	}
	c.Sha256[0] ^= 1
	if _, err := UnpackChunk(c); err == nil {
		t.Error("a chunk with a mismatched hash was accepted")
	}
}

// The generated code is up to date with the schema.
func TestGeneratedCodeMatchesSchema(t *testing.T) {
	c := protocompile.Compiler{Resolver: protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{"../../proto"}})}
	files, err := c.Compile(context.Background(), "reedtrack/outputs/v1/outputs.proto", "reedtrack/outputs/v1/index.proto")
	if err != nil {
		t.Fatal(err)
	}
	for i, have := range []protoreflect.FileDescriptor{pb.File_reedtrack_outputs_v1_outputs_proto, pb.File_reedtrack_outputs_v1_index_proto} {
		if !proto.Equal(protodesc.ToFileDescriptorProto(have), protodesc.ToFileDescriptorProto(files[i])) {
			t.Errorf("generated code of %s is out of date; run go run ./internal/tools/protogen", have.Path())
		}
	}
}
