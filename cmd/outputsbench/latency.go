package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	// clockScript prints the current time in nanoseconds a hundred times.
	clockScript = "i=0; while [ $i -lt 100 ]; do i=$((i+1)); date +%s%N; sleep 0.07; done"
	// listTimeout is the time limit for a new attempt to appear in the listing.
	listTimeout  = 10 * time.Second
	listInterval = 50 * time.Millisecond
)

// latency measures the time from when a task writes a line until a reader that
// follows it through another store receives the line.
func (o *options) latency(ctx context.Context, dir string) error {
	f, err := newStoreCluster(o.Bin, dir, 2, noLimits)
	if err != nil {
		return err
	}
	defer f.stop()
	cmd := o.captureCommand(f, "--", "sh", "-c", clockScript)
	if err := cmd.Start(); err != nil {
		return err
	}
	stores, err := f.stores[1].newClient()
	if err != nil {
		return err
	}
	attempt, err := awaitAttempt(ctx, stores)
	if err != nil {
		return err
	}
	delays, err := followClock(ctx, stores, attempt)
	if err != nil {
		return err
	}
	fmt.Printf("from line written to line read, 2 stores: median %v, 99%% %v, %d lines\n", percentile(delays, .5), percentile(delays, .99), len(delays))
	return cmd.Wait()
}

// awaitAttempt waits until the only attempt is listed.
func awaitAttempt(ctx context.Context, stores *client.Client) (*pb.Attempt, error) {
	for end := time.Now().Add(listTimeout); time.Now().Before(end); time.Sleep(listInterval) {
		page, err := stores.List(ctx, &pb.ListRequest{Job: benchJob})
		if err == nil && len(page.Attempts) > 0 {
			return page.Attempts[0].Attempt, nil
		}
	}
	return nil, errors.New("the attempt did not appear in the listing")
}

// followClock reads the timestamps that a task writes and returns the delay of each. It
// ignores the first message, which contains lines written before the read began.
func followClock(ctx context.Context, stores *client.Client, attempt *pb.Attempt) ([]time.Duration, error) {
	var delays []time.Duration
	isFirst := true
	err := stores.Read(ctx, &pb.ReadRequest{Attempt: attempt, Follow: true}, func(m *pb.ReadResponse) error {
		now := time.Now().UnixNano()
		for _, record := range m.Records {
			for _, line := range bytes.Fields(record.Data) {
				var written int64
				if fmt.Sscan(string(line), &written); !isFirst {
					delays = append(delays, time.Duration(now-written))
				}
			}
		}
		isFirst = false
		return nil
	})
	return delays, err
}
