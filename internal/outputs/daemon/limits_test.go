package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/settings"
)

// newRandomBytes returns a deterministic source of incompressible bytes.
func newRandomBytes() func() byte {
	rnd := rand.New(rand.NewPCG(1, 1))
	return func() byte { return byte(rnd.Uint32()) }
}

// appendUntilRefused appends up to maxRecords random records and returns the first
// error.
func (w *testWriter) appendUntilRefused(d *Daemon, randomByte func() byte, maxRecords int) error {
	for range maxRecords {
		if err := w.appendRandom(d, randomByte); err != nil {
			return err
		}
	}
	return nil
}

// A full store refuses writes with a reason and a retry delay and still serves reads.
// Writes that it can't store go to other stores.
func TestFullStoreRefusesWrites(t *testing.T) {
	c := newTestCluster(t, nil)
	c.modifyConfig = func(config *Config) {
		if config.Name != "s2" {
			config.Settings.MaxBytes = 64 << 10
		}
	}
	c.startStores("a", "b")
	w, randomByte := c.newWriter(0, 1, "k"), newRandomBytes()
	err := w.appendUntilRefused(c.stores["s0"], randomByte, 20)
	var refused *connect.Error
	if !errors.As(err, &refused) || refused.Code() != connect.CodeResourceExhausted || !strings.Contains(refused.Message(), "full") || refused.Meta().Get("Retry-After") == "" {
		t.Fatalf("append to a full store: %v", err)
	}
	stores, err := client.New([]string{c.stores["s1"].URL}, "", "")
	if err != nil {
		t.Fatal(err)
	}
	read := 0
	err = stores.Read(context.Background(), &pb.ReadRequest{Attempt: w.attempt}, func(m *pb.ReadResponse) error {
		read += len(m.Records)
		return nil
	})
	if err != nil || read < len(w.acked) {
		t.Errorf("read %d records of %d, error %v", read, len(w.acked), err)
	}
	c.startStore("s2", "c") // has free space
	c.waitForMembers(3)
	if err := w.appendRandom(c.stores["s0"], randomByte); err != nil {
		t.Errorf("append with free space on a third store: %v", err)
	}
}

func TestTeamOverByteLimitIsRefused(t *testing.T) {
	c := newTestCluster(t, func(o *settings.Outputs) { o.TeamBytes = 3 << 20 })
	c.startStores("c")
	w := c.newWriter(9, 1, "b")
	err := w.appendUntilRefused(c.stores["s0"], newRandomBytes(), 600)
	if connect.CodeOf(err) != connect.CodeResourceExhausted || !strings.Contains(err.Error(), "team red") {
		t.Errorf("append over the team's limit: %v", err)
	}
}
