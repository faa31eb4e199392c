package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// killTest kills and restarts stores in turn while writers are active.
type killTest struct {
	*testCluster
	rnd     *rand.Rand
	names   []string
	writers []*testWriter
	refused int
}

func zoneOfStore(i int) string { return []string{"a", "b"}[i%2] }

// writeOnce appends to a random attempt on a random store, and sometimes seals it.
func (k *killTest) writeOnce() {
	w := k.writers[k.rnd.IntN(len(k.writers))]
	d := k.anyStore()
	if name := k.names[k.rnd.IntN(len(k.names))]; k.stores[name] != nil {
		d = k.stores[name]
	}
	if w.sealed {
		return
	}
	if err := w.append(d, 1+k.rnd.IntN(4)); err != nil {
		k.refused++
	}
	if k.rnd.IntN(15) == 0 {
		w.seal(d, int32(k.rnd.IntN(2)))
	}
}

// checkReadable reads, while one store is down, all attempts except those that only
// this store may hold.
func (k *killTest) checkReadable(step int) {
	k.t.Helper()
	for _, w := range k.writers {
		if len(w.acked) == 0 || w.minCopies < 2 {
			continue
		}
		if err := w.read(k.anyStore()); err != nil {
			k.t.Fatalf("step %d: %v", step, err)
		}
	}
}

// Acknowledged records can be read, each once, while stores are killed and restarted
// and from every store at the end. Finally all attempts have enough complete replicas.
func TestAcknowledgedRecordsSurviveKills(t *testing.T) {
	k := &killTest{
		testCluster: newTestCluster(t, nil),
		rnd:         rand.New(rand.NewPCG(7, 7)),
		names:       []string{"s0", "s1", "s2", "s3"},
	}
	k.startStores(zoneOfStore(0), zoneOfStore(1), zoneOfStore(2), zoneOfStore(3))
	for i := range 16 {
		k.writers = append(k.writers, k.newWriter(uint32(i/2), uint64(1+i%2), fmt.Sprintf("%c", 'a'+i)))
	}
	for step := range 240 {
		k.writeOnce()
		victim := step / 20 % len(k.names)
		switch step % 20 {
		case 10:
			k.killStore(k.names[victim])
		case 18:
			k.checkReadable(step)
			k.startStore(k.names[victim], zoneOfStore(victim))
		}
	}
	k.waitForMembers(4)
	var written []*testWriter
	for _, w := range k.writers {
		if len(w.acked) > 0 {
			written = append(written, w)
		}
		if !w.sealed && len(w.acked) > 0 {
			k.waitFor("the seal", func() bool { return w.seal(k.anyStore(), 0) == nil })
		}
	}
	k.waitFor("copies of everything", func() bool {
		for _, w := range written {
			if w.completeCopies() < 2 {
				return false
			}
		}
		return true
	})
	for _, w := range written {
		for _, d := range k.stores {
			if err := w.read(d); err != nil {
				t.Error(err)
			}
		}
	}
	t.Logf("%d requests refused", k.refused)
}

// The outputs of attempts of one task stay separate and complete, if a superseded
// attempt continues to write after the next one has ended and if two machines both act
// as the writer of one try.
func TestAttemptsOfOneTaskStaySeparate(t *testing.T) {
	c := newTestCluster(t, nil)
	c.startStores("a", "b")
	first, concurrent, second := c.newWriter(0, 1, "a"), c.newWriter(0, 1, "b"), c.newWriter(0, 2, "c")
	concurrent.attempt.Machine = "host-2"
	s0, s1 := c.stores["s0"], c.stores["s1"]
	if err := errors.Join(first.append(s0, 3), concurrent.append(s1, 2), second.append(s1, 4), second.seal(s0, 0),
		first.append(s1, 3), concurrent.append(s0, 5), concurrent.seal(s0, 1), first.append(s0, 1), first.seal(s1, 1)); err != nil {
		t.Fatal(err)
	}
	for _, w := range []*testWriter{first, concurrent, second} {
		if err := errors.Join(w.read(s0), w.read(s1)); err != nil || w.completeCopies() != 2 {
			t.Errorf("%d copies, want 2; error %v", w.completeCopies(), err)
		}
	}
	page, err := c.listAttempts(s1, "", &pb.ListRequest{Job: testJob, Task: proto.Uint32(0)})
	if err != nil || len(page.Attempts) != 3 || page.Attempts[2].Attempt.Try != 2 {
		t.Errorf("listed %v, error %v", page, err)
	}
}

// After a member is lost with its disk, the other members copy its replicas, even if one
// of them is killed during the repair. Afterwards another member may fail.
func TestLostMemberIsReplicatedAgain(t *testing.T) {
	c := newTestCluster(t, nil)
	c.startStores("0", "1", "2")
	var writers []*testWriter
	for task := range uint32(40) {
		w := c.newWriter(task, 1, "k")
		if err := errors.Join(w.append(c.anyStore(), 5), w.append(c.anyStore(), 3), w.seal(c.anyStore(), 0)); err != nil {
			t.Fatal(err)
		}
		writers = append(writers, w)
	}
	c.killStore("s1")
	os.RemoveAll(filepath.Join(c.dir, "s1"))
	c.waitForMembers(2)
	c.waitFor("copying", func() bool { return c.stores["s2"].Node.Store().Stats().Attempts > 28 })
	c.killStore("s2")
	c.startStore("s2", "2")
	c.waitFor("copies of everything", func() bool { return allHaveCopies(writers, 2) })
	c.killStore("s0")
	for _, w := range writers {
		if err := w.read(c.stores["s2"]); err != nil {
			t.Error(err)
		}
	}
	// The listing names the member that may hold more.
	page, err := c.listAttempts(c.stores["s2"], "", &pb.ListRequest{Job: testJob, Limit: 1000})
	if err != nil || len(page.Attempts) != 40 || len(page.Unreachable) != 1 {
		t.Errorf("%d attempts listed, want 40; unreachable %v, want one; error %v", len(page.GetAttempts()), page.GetUnreachable(), err)
	}
	// Repair copies the replicas to a store with the old name and an empty disk.
	c.startStore("s1", "1")
	c.waitFor("the empty store to be filled", func() bool { return allHaveCopies(writers, 2) })
}

// A returning member finds the data that it lacks by comparing digests, and copies only
// that.
func TestReturningMemberCopiesOnlyWhatChanged(t *testing.T) {
	c := newTestCluster(t, slowRepair)
	c.startStores("a", "b")
	s0 := c.stores["s0"]
	var writers []*testWriter
	for task := range uint32(50) {
		w := c.newWriter(task, 1, "k")
		if err := w.append(s0, 2); err != nil {
			t.Fatal(err)
		}
		if task%2 == 0 {
			w.seal(s0, 0)
		}
		writers = append(writers, w)
	}
	c.killStore("s1")
	for i := 1; i < 10; i += 2 {
		w := writers[i]
		if err := errors.Join(w.append(s0, 2), w.seal(s0, 1)); err != nil {
			t.Fatal(err)
		}
		if w.minCopies != 1 || !s0.Node.Store().IsUnderReplicated(w.key()) {
			t.Fatalf("acknowledged with %d copies, want 1, or the under-replication was not recorded", w.minCopies)
		}
	}
	before := repairedAttempts(t)
	putChunk(t, s0, c.newWriter(90, 1, "k"))
	c.setReachable(s0, false) // s1 can't copy yet
	s1 := c.startStore("s1", "b")
	c.waitForMembers(2)
	// Attempts that are open on s1 but sealed on s0 are not listed as open.
	page, err := c.listAttempts(s0, "", &pb.ListRequest{Job: testJob, Which: pb.Which_WHICH_OPEN, Limit: 1000})
	if err != nil || len(page.Attempts) != 21 {
		t.Errorf("%d attempts listed as open, want 21 (20 and the one with the chunk): %v", len(page.GetAttempts()), err)
	}
	c.setReachable(s0, true)
	c.waitFor("the repair", func() bool {
		s1.Node.Repair(context.Background(), s1.Node.Membership().View())
		return writers[9].completeCopies() == 2
	})
	s1.Node.Repair(context.Background(), s1.Node.Membership().View())
	if n := repairedAttempts(t) - before; n != 6 { // the five changed attempts and the one with the chunk
		t.Errorf("copied data of %g attempts, want 6", n)
	}
	for _, w := range writers {
		if err := w.read(s1); err != nil {
			t.Error(err)
		}
	}
}

// putChunk sends a chunk of an artefact to a store before any other data of its
// attempt.
func putChunk(t *testing.T, d *Daemon, w *testWriter) {
	t.Helper()
	_, err := w.client(d).PutChunk(context.Background(), connect.NewRequest(&pb.PutChunkRequest{
		Attempt: w.attempt,
		Secret:  w.secret,
		Chunk:   outputs.PackChunk([]byte("a file")),
	}))
	if err != nil {
		t.Fatal(err)
	}
}

// repairedAttempts returns the counter of attempts of which data was copied.
func repairedAttempts(t *testing.T) float64 {
	t.Helper()
	families, err := prometheus.DefaultGatherer.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "reedtrack_outputs_repaired_attempts_total" {
			return family.Metric[0].GetCounter().GetValue()
		}
	}
	t.Fatal("the counter of repaired attempts is not registered")
	return 0
}
