package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
)

// pollInterval is how often --follow polls for the next attempt.
const pollInterval = time.Second

// logsCmd implements the command logs.
type logsCmd struct {
	queryFlags
	Stream string `enum:"stdout,stderr," default:"" help:"Only stdout or stderr."`
	Follow bool   `short:"f" help:"Go on until the attempt ends, and with later attempts of the task."`
	Tail   uint64 `short:"n" placeholder:"LINES" help:"Only the last lines."`
	Since  string `placeholder:"TIME" help:"Only what was written since: 10m, 2h, or a time as 2026-12-01T07:30:00Z."`
	Raw    bool   `help:"Bytes as they were written, even to a terminal."`
	Limit  uint32 `default:"100" help:"Attempts in a listing of a job; 0: all."`
	After  string `placeholder:"PAGE" help:"The next page of a listing, as the one before says."`
	JSON   bool   `help:"Listings as JSON, an attempt a line."`
}

// Run shows the output of a task, or lists the attempts of a job.
func (c *logsCmd) Run() error {
	ctx := context.Background()
	stores, request, err := c.prepare()
	if err != nil {
		return err
	}
	if request.Task == nil {
		return c.listAttempts(ctx, stores, request)
	}
	sinceNs, err := parseSince(c.Since, time.Now())
	if err != nil {
		return usageError{err}
	}
	if c.Follow && (c.Attempt == allAttempts || c.Failed) {
		return usageError{errors.New("--follow shows one attempt after the other; it does not go with --try all and --failed")}
	}
	attempts, err := c.selectAttempts(ctx, stores)
	if c.Follow && mayAppearLater(err) {
		fmt.Fprintf(os.Stderr, "%v yet, waiting\n", err)
		attempts, err = c.awaitAttempt(ctx, stores, nil)
	}
	if err != nil {
		return err
	}
	return c.showAttempts(ctx, stores, attempts, sinceNs)
}

// mayAppearLater reports whether the selection failed only because there are no matching
// attempts yet.
func mayAppearLater(err error) bool {
	isUsage := errors.As(err, new(usageError))
	return err != nil && !isUsage && !errors.Is(err, client.ErrUnavailable) && connect.CodeOf(err) == connect.CodeUnknown
}

// showAttempts shows the attempts in order, and with --follow also the later attempts
// that follow a failed one.
func (c *logsCmd) showAttempts(ctx context.Context, stores *client.Client, attempts []*pb.Summary, sinceNs int64) error {
	for {
		isComplete := true
		for _, summary := range attempts {
			if len(attempts) > 1 || c.Follow {
				fmt.Fprintf(os.Stderr, "== %s, %s\n", outputs.FormatAttempt(summary.Attempt), statusText(summary))
			}
			shownAll, err := c.showOutput(ctx, stores, summary.Attempt, sinceNs)
			if err != nil {
				return err
			}
			isComplete = isComplete && shownAll
		}
		last := attempts[len(attempts)-1]
		if c.Follow && c.Attempt == "" {
			next, err := c.awaitRetry(ctx, stores, last)
			if err != nil {
				return err
			}
			if next != nil {
				attempts = next
				continue
			}
		}
		if !isComplete {
			return errors.New("the output could not be read completely, see above")
		}
		return nil
	}
}

// awaitRetry waits for the attempt that follows a failed one. If the last attempt has not
// failed, it returns nil.
func (c *logsCmd) awaitRetry(ctx context.Context, stores *client.Client, last *pb.Summary) ([]*pb.Summary, error) {
	description, err := stores.Describe(ctx, last.Attempt)
	if err != nil || !description.Summary.Sealed || description.Summary.Exit == 0 {
		return nil, nil
	}
	fmt.Fprintf(os.Stderr, "== %s, %s; waiting for the next try, press Ctrl-C to stop\n", outputs.FormatAttempt(last.Attempt), statusText(description.Summary))
	return c.awaitAttempt(ctx, stores, last)
}

// awaitAttempt waits for an attempt other than last, which may be nil.
func (c *logsCmd) awaitAttempt(ctx context.Context, stores *client.Client, last *pb.Summary) ([]*pb.Summary, error) {
	for {
		time.Sleep(pollInterval)
		attempts, err := c.selectAttempts(ctx, stores)
		if err == nil && (last == nil || !proto.Equal(attempts[0].Attempt, last.Attempt)) {
			return attempts, nil
		}
		if errors.Is(err, client.ErrUnavailable) || client.IsPermanent(err) {
			return nil, err
		}
	}
}

// parseSince parses a duration before now or an RFC 3339 time and returns it as Unix
// time in nanoseconds, or 0 for an empty text.
func parseSince(text string, now time.Time) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return now.Add(-d).UnixNano(), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("--since %s: must look like 10m, 2h or 2026-12-01T07:30:00Z", text)
	}
	return t.UnixNano(), nil
}
