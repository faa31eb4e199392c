package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"

	"reedtrack/internal/outputs/access"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
)

// pageSize is the number of attempts that one request asks for. It is the maximum that
// stores return.
const pageSize = 1000

// allAttempts is the value of the flag --try that selects all attempts of a task.
const allAttempts = "all"

// storeFlags are the flags for the addresses of the stores and the credentials.
type storeFlags struct {
	Store     []string `required:"" env:"REEDTRACK_STORE" placeholder:"HOST:PORT" help:"Addresses of stores of outputs, any of them; tried in turn."`
	TokenFile string   `env:"REEDTRACK_TOKEN_FILE" placeholder:"FILE" help:"The team's token; or REEDTRACK_TOKEN."`
	CA        string   `env:"REEDTRACK_CA" placeholder:"FILE" help:"Certificates that the stores' are checked against; HOST:PORT then means https."`
}

// newClient returns a client that prints a message on standard error when no store
// responds.
func (f *storeFlags) newClient() (*client.Client, error) {
	token := os.Getenv("REEDTRACK_TOKEN")
	if f.TokenFile != "" {
		var err error
		if token, err = access.ReadTokenFile(f.TokenFile); err != nil {
			return nil, usageError{err}
		}
	}
	stores, err := client.New(f.Store, token, f.CA)
	if err != nil {
		return nil, usageError{err}
	}
	stores.OnUnavailable = func(err error) {
		fmt.Fprintf(os.Stderr, "no store has responded yet: %v\n", withoutCode(err))
	}
	return stores, nil
}

// selectionFlags are the arguments and flags that select attempts of a job or task.
type selectionFlags struct {
	Target  string `arg:"" name:"job" help:"The job, as wk-000412, or one task of it, as wk-000412/3."`
	Attempt string `name:"try" placeholder:"N" help:"This try of the task, or all; the newest if absent."`
	Failed  bool   `help:"Only attempts that failed."`
	Open    bool   `help:"Only attempts that have not ended."`
}

// queryFlags are the flags of the commands that query attempts.
type queryFlags struct {
	storeFlags
	selectionFlags
}

// prepare returns a client and the list request for the selected attempts.
func (f *queryFlags) prepare() (*client.Client, *pb.ListRequest, error) {
	stores, err := f.newClient()
	if err != nil {
		return nil, nil, err
	}
	request, err := f.listRequest()
	return stores, request, err
}

func (f *selectionFlags) listRequest() (*pb.ListRequest, error) {
	target, err := client.ParseTarget(f.Target)
	if err != nil {
		return nil, usageError{err}
	}
	request := &pb.ListRequest{Job: target.Job, Task: target.Task, Limit: pageSize}
	switch {
	case f.Failed && f.Open:
		return nil, usageError{errors.New("--failed and --open exclude each other: an attempt that failed has ended")}
	case f.Failed:
		request.Which = pb.Which_WHICH_FAILED
	case f.Open:
		request.Which = pb.Which_WHICH_OPEN
	}
	return request, nil
}

// attemptNumber returns the number in the flag --try, or 0 if it has none.
func (f *selectionFlags) attemptNumber() (uint64, error) {
	if f.Attempt == "" || f.Attempt == allAttempts {
		return 0, nil
	}
	number, err := strconv.ParseUint(f.Attempt, 10, 64)
	if err != nil || number == 0 {
		return 0, usageError{fmt.Errorf("--try %s: must be a number, or all", f.Attempt)}
	}
	return number, nil
}

// selectAttempts returns the selected attempts of one task in order: the newest one,
// or those given by the flag --try. One number can match several attempts, if more
// than one machine ran the task under it.
func (f *selectionFlags) selectAttempts(ctx context.Context, stores *client.Client) ([]*pb.Summary, error) {
	request, err := f.listRequest()
	if err != nil {
		return nil, err
	}
	number, err := f.attemptNumber()
	if err != nil {
		return nil, err
	}
	unreachable := map[string]bool{}
	var selected []*pb.Summary
	for summary, err := range stores.ListAll(ctx, request, unreachable) {
		if err != nil {
			return nil, err
		}
		if number == 0 || summary.Attempt.Try == number {
			selected = append(selected, summary)
		}
	}
	warnUnreachable(unreachable)
	if len(selected) == 0 {
		return nil, f.notFoundError(unreachable)
	}
	slices.SortFunc(selected, compareSummaries)
	if f.Attempt == "" {
		return selected[len(selected)-1:], nil
	}
	return selected, nil
}

// compareSummaries orders attempts by task, number and start time.
func compareSummaries(a, b *pb.Summary) int {
	return cmp.Or(
		cmp.Compare(a.Attempt.Task, b.Attempt.Task),
		cmp.Compare(a.Attempt.Try, b.Attempt.Try),
		cmp.Compare(a.Meta.GetBegunNs(), b.Meta.GetBegunNs()),
	)
}

// notFoundError returns the error for an empty result. If members did not respond, the
// result may be incomplete, so the error is ErrUnavailable.
func (f *selectionFlags) notFoundError(unreachable map[string]bool) error {
	if len(unreachable) > 0 {
		return fmt.Errorf("%w: nothing found, but not all stores responded", client.ErrUnavailable)
	}
	return fmt.Errorf("nothing is kept of %s", f.Target)
}

func warnUnreachable(unreachable map[string]bool) {
	for name := range unreachable {
		fmt.Fprintf(os.Stderr, "store %s does not respond: attempts that only it holds are missing\n", name)
	}
}
