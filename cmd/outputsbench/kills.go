package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	killSettings    = "<repair><every-s>1</every-s><after-s>0</after-s></repair>"
	killWriters     = 8
	killReportEvery = 100

	maxKillBlockBytes = 4 * kibibyte
	appendTimeout     = 5 * time.Second
	appendRetryDelay  = 5 * time.Millisecond
	// repairDelay gives the stores time to repair missing copies after the last kill.
	repairDelay = 3 * time.Second
)

// kills alternately kills two stores at random times while writers append to them. At
// the end it checks that all acknowledged records can be read from each store.
func (o *options) kills(ctx context.Context, dir string) error {
	f, err := newStoreCluster(o.Bin, dir, 2, killSettings+noLimits)
	if err != nil {
		return err
	}
	defer f.stop()
	var ackedBlocks atomic.Int64
	writers, stopWriters, err := f.startKillWriters(ctx, &ackedBlocks)
	if err != nil {
		return err
	}
	err = f.restartStoresInTurn(o.Kills, &ackedBlocks)
	stopWriters()
	if err != nil {
		return err
	}
	time.Sleep(repairDelay)
	wrong, err := f.countWrongLogs(ctx, writers)
	if err != nil {
		return err
	}
	fmt.Printf("%d kills, %d blocks acknowledged, %d logs of %d wrong\n", o.Kills, ackedBlocks.Load(), wrong, len(f.stores)*len(writers))
	if wrong > 0 {
		return errors.New("acknowledged output was lost")
	}
	return nil
}

// startKillWriters starts writers that append until stop is called.
func (f *storeCluster) startKillWriters(ctx context.Context, ackedBlocks *atomic.Int64) (writers []*attemptWriter, stop func(), err error) {
	text := logText(4, 8*mebibyte)
	for i := range killWriters {
		w, err := newAttemptWriter(f.addresses(), i)
		if err != nil {
			return nil, nil, err
		}
		w.text, w.offset = text, i*256*kibibyte
		writers = append(writers, w)
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for i, w := range writers {
		running.Go(func() { w.writeThroughKills(ctx, i, ackedBlocks) })
	}
	return writers, func() { cancel(); running.Wait() }, nil
}

// writeThroughKills appends small blocks until the context ends. It retries each block
// until it is acknowledged, after each failure at the other store.
func (w *attemptWriter) writeThroughKills(ctx context.Context, firstStore int, ackedBlocks *atomic.Int64) {
	addrs := w.stores.Addresses()
	store := firstStore
	for ctx.Err() == nil {
		records := w.nextRecords(1 + rand.IntN(maxKillBlockBytes))
		for ctx.Err() == nil {
			if w.appendWithin(ctx, appendTimeout, addrs[store%len(addrs)], records) == nil {
				ackedBlocks.Add(1)
				break
			}
			store++
			time.Sleep(appendRetryDelay)
		}
	}
}

func (w *attemptWriter) appendWithin(ctx context.Context, timeout time.Duration, addr string, records []*pb.Record) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return w.append(ctx, addr, records)
}

// restartStoresInTurn kills and restarts the stores in turn.
func (f *storeCluster) restartStoresInTurn(kills int, ackedBlocks *atomic.Int64) error {
	rnd := rand.New(rand.NewPCG(3, 3))
	start := time.Now()
	for i := range kills {
		store := f.stores[i%len(f.stores)]
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
		store.kill()
		time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
		if err := store.start(); err != nil {
			return err
		}
		if (i+1)%killReportEvery == 0 {
			fmt.Printf("%d kills, %d blocks acknowledged, %v\n", i+1, ackedBlocks.Load(), time.Since(start).Round(time.Second))
		}
	}
	return nil
}

// countWrongLogs reads each writer's log through each store, and prints and counts the
// logs that lack acknowledged records or contain wrong ones.
func (f *storeCluster) countWrongLogs(ctx context.Context, writers []*attemptWriter) (int, error) {
	wrong := 0
	for i, w := range writers {
		for _, store := range f.stores {
			stores, err := store.newClient()
			if err != nil {
				return wrong, err
			}
			log := &ackedLog{acked: w.acked, digest: outputs.NewDigest()}
			err = stores.Read(ctx, &pb.ReadRequest{Attempt: w.attempt}, log.check)
			if err != nil || log.records < w.acked || !bytes.Equal(log.digest.Sum(), w.digest.Sum()) {
				wrong++
				fmt.Printf("writer %d through %s: %d of %d records, %v\n", i, store.name, log.records, w.acked, err)
			}
		}
	}
	return wrong, nil
}

// ackedLog checks that the records of a log are consecutive, and computes the digest of
// the acknowledged ones.
type ackedLog struct {
	acked   uint64
	records uint64          // read so far; may include unacknowledged ones at the end
	digest  *outputs.Digest // of the first acked records
}

func (l *ackedLog) check(m *pb.ReadResponse) error {
	if m.Hole != nil {
		return fmt.Errorf("records %d to %d are missing", m.Hole.From, m.Hole.To)
	}
	for _, record := range m.Records {
		if record.Seq != l.records {
			return fmt.Errorf("record %d where %d comes next", record.Seq, l.records)
		}
		if l.records++; l.records <= l.acked {
			l.digest.Add(record)
		}
	}
	return nil
}
