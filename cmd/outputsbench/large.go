package main

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	largeAttemptBytes = 200 // output of each task of the large job
	largeSamples      = 300 // measurements for each percentile
	largePageSize     = 1000
	firstPageSize     = 100 // default limit of the command logs
)

// largeJob measures listings and look-ups in a job with many tasks.
func (o *options) largeJob(ctx context.Context, dir string) error {
	f, err := newStoreCluster(o.Bin, dir, 2, noLimits)
	if err != nil {
		return err
	}
	defer f.stop()
	start := time.Now()
	if _, err := f.fill(ctx, int64(o.Tasks)*largeAttemptBytes, largeAttemptBytes); err != nil {
		return err
	}
	fmt.Printf("%d tasks written and sealed, 2 copies        %v, %.0f a second\n", o.Tasks, time.Since(start).Round(time.Millisecond), float64(o.Tasks)/time.Since(start).Seconds())
	stores, err := f.stores[0].newClient()
	if err != nil {
		return err
	}
	for _, which := range []pb.Which{pb.Which_WHICH_ALL, pb.Which_WHICH_FAILED, pb.Which_WHICH_OPEN} {
		if err := measureListing(ctx, stores, which); err != nil {
			return err
		}
	}
	if err := o.measureLookups(ctx, stores); err != nil {
		return err
	}
	for _, store := range f.stores {
		memory, peak := store.residentMB()
		fmt.Printf("memory of %s                               %.0f MB, peak %.0f\n", store.name, memory, peak)
	}
	return nil
}

// measureListing prints the time to list all pages.
func measureListing(ctx context.Context, stores *client.Client, which pb.Which) error {
	start, listed := time.Now(), 0
	request := &pb.ListRequest{Job: benchJob, Which: which, Limit: largePageSize}
	for _, err := range stores.ListAll(ctx, request, map[string]bool{}) {
		if err != nil {
			return err
		}
		listed++
	}
	fmt.Printf("list %-13s in pages of 1000        %6d attempts, %v\n", which, listed, time.Since(start).Round(100*time.Microsecond))
	return nil
}

// measureLookups prints the time to list a first page, and the time to find and read
// one task.
func (o *options) measureLookups(ctx context.Context, stores *client.Client) error {
	var pageTimes, taskTimes []time.Duration
	for i := range largeSamples {
		start := time.Now()
		if _, err := stores.List(ctx, &pb.ListRequest{Job: benchJob, Limit: firstPageSize}); err != nil {
			return err
		}
		pageTimes = append(pageTimes, time.Since(start))
		start = time.Now()
		if err := readTask(ctx, stores, i*331, o.Tasks); err != nil {
			return err
		}
		taskTimes = append(taskTimes, time.Since(start))
	}
	fmt.Printf("first page of 100                          median %v, 99%% %v\n", percentile(pageTimes, .5), percentile(pageTimes, .99))
	fmt.Printf("one task found and read                    median %v, 99%% %v\n", percentile(taskTimes, .5), percentile(taskTimes, .99))
	return nil
}

// readTask finds and reads one task; its number is taken modulo the number of tasks.
func readTask(ctx context.Context, stores *client.Client, task, tasks int) error {
	page, err := stores.List(ctx, &pb.ListRequest{Job: benchJob, Task: proto.Uint32(uint32(task % tasks))})
	if err != nil || len(page.Attempts) != 1 {
		return fmt.Errorf("task %d: %d attempts, %w", task, len(page.GetAttempts()), err)
	}
	size := 0
	err = stores.Read(ctx, &pb.ReadRequest{Attempt: page.Attempts[0].Attempt}, func(m *pb.ReadResponse) error {
		for _, record := range m.Records {
			size += len(record.Data)
		}
		return nil
	})
	if err != nil || size != largeAttemptBytes {
		return fmt.Errorf("task %d: %d bytes, %w", task, size, err)
	}
	return nil
}
