package framing

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

func newFrame(body []byte) []byte {
	frame := append(BeginFrame(nil), body...)
	EndFrame(frame, 0)
	return frame
}

func TestDecodeFrameRefusesDamage(t *testing.T) {
	frame := newFrame([]byte("body"))
	if body, n, err := DecodeFrame(frame); err != nil || string(body) != "body" || n != len(frame) {
		t.Fatalf("body %q, length %d, error %v", body, n, err)
	}
	for i := range frame {
		if _, n, err := DecodeFrame(frame[:i]); !errors.Is(err, io.ErrUnexpectedEOF) || i >= HeaderSize && n != len(frame) {
			t.Errorf("cut off at %d: length %d, error %v", i, n, err)
		}
		damaged := bytes.Clone(frame)
		damaged[i] ^= 1
		if _, _, err := DecodeFrame(damaged); err == nil {
			t.Errorf("a changed bit in byte %d was not detected", i)
		}
	}
}

// failingReader fails reads at or beyond an offset.
type failingReader struct {
	io.ReaderAt
	limit int64
	err   error
}

func (r failingReader) ReadAt(b []byte, offset int64) (int, error) {
	if offset >= r.limit {
		return 0, r.err
	}
	return r.ReaderAt.ReadAt(b[:min(int64(len(b)), r.limit-offset)], offset)
}

func TestScanReadErrorIsReturned(t *testing.T) {
	frame := newFrame([]byte("body"))
	errBroken := errors.New("broken")
	file := failingReader{bytes.NewReader(append(bytes.Clone(frame), frame...)), int64(len(frame)), errBroken}
	end, damaged, err := Scan(file, 0, int64(2*len(frame)), func([]byte, int64, int) error { return nil })
	if !errors.Is(err, errBroken) || end != int64(len(frame)) || len(damaged) != 0 {
		t.Errorf("end %d, damaged %v, error %v; want the first frame and the read error", end, damaged, err)
	}
}

// Intact frames are found among arbitrary data, and nothing else is taken for a frame. Run
// for longer with go test -fuzz FuzzScan.
func FuzzScan(f *testing.F) {
	magic := []byte{0xe1, 0x74, 0x5b, 0x9d}
	f.Add([]byte{}, []byte("torn"), []byte("body"), uint16(0))
	f.Add(magic, append(bytes.Clone(magic), 4, 0, 0, 0), []byte{}, uint16(9))
	f.Add([]byte("x"), bytes.Repeat(magic, 5), bytes.Repeat([]byte{0xe1}, 300), uint16(40))
	f.Add(append(bytes.Clone(magic), 0xff, 0xff, 0x7f, 0, 1, 2, 3, 4), []byte("y"), []byte("z"), uint16(3))
	f.Fuzz(func(t *testing.T, before, between, body []byte, cut uint16) {
		frame := newFrame(body)
		file := append(bytes.Clone(before), frame...)
		first := len(before)
		file = append(file, between...)
		second := len(file)
		file = append(file, frame...)
		last := len(file)
		file = append(file, frame[:int(cut)%len(frame)]...) // a torn write
		found := map[int]bool{}
		end, bad, err := Scan(bytes.NewReader(file), 0, int64(len(file)), func(got []byte, at int64, n int) error {
			whole, m, err := DecodeFrame(file[at:])
			if err != nil || m != n || !bytes.Equal(whole, got) {
				t.Fatalf("Scan reported a frame of %d bytes at %d that DecodeFrame does not find", n, at)
			}
			found[int(at)] = true
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		// The data before or between the frames may itself contain a frame that overlaps
		// one of them.
		if len(found) == 2 && (!found[first] || !found[second]) || len(found) < 2 && !overlaps(file, first, second) {
			t.Fatalf("found %v, not %d and %d", found, first, second)
		}
		if found[second] && end != int64(last) {
			t.Fatalf("ends at %d, not %d", end, last)
		}
		if len(before) > 0 && found[first] && len(found) == 2 && (len(bad) == 0 || bad[0] != (Range{0, int64(first)})) {
			t.Fatalf("damage %v before the frame at %d", bad, first)
		}
	})
}

// overlaps reports whether a frame starts at an offset other than the two given.
func overlaps(file []byte, first, second int) bool {
	for at := range file {
		if _, _, err := DecodeFrame(file[at:]); err == nil && at != first && at != second {
			return true
		}
	}
	return false
}
