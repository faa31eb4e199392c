package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
)

// toStandardOutput is the file name that selects standard output.
const toStandardOutput = "-"

// fetchCmd implements the command fetch.
type fetchCmd struct {
	storeFlags
	Target  string `arg:"" name:"task" help:"The task, as wk-000412/3."`
	Path    string `arg:"" help:"The file, as artefacts lists it."`
	Attempt string `name:"try" placeholder:"N" help:"This try of the task; the newest that kept the file if absent."`
	Output  string `name:"out" short:"o" placeholder:"FILE" help:"Where it goes; - for standard output. Its own name, here, if absent."`
}

// Run downloads an artefact.
func (c *fetchCmd) Run() error {
	ctx := context.Background()
	stores, err := c.newClient()
	if err != nil {
		return err
	}
	if target, err := client.ParseTarget(c.Target); err != nil || target.Task == nil {
		return usageError{fmt.Errorf("%q is no task; they look like wk-000412/3", c.Target)}
	}
	attempt, err := c.findAttempt(ctx, stores)
	if err != nil {
		return err
	}
	var bar *progressBar
	defer func() { bar.Close() }()
	progress := func(fetched, size uint64) {
		if bar == nil {
			bar = newProgressBar(int64(size), path.Base(c.Path))
		}
		bar.Set(int64(fetched))
	}
	if c.Output == toStandardOutput {
		return stores.FetchTo(ctx, attempt, c.Path, os.Stdout, progress)
	}
	file := c.fileName()
	if err := stores.Fetch(ctx, attempt, c.Path, file, progress); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%s from %s\n", file, outputs.FormatAttempt(attempt))
	return nil
}

// findAttempt returns the newest of the selected attempts that has the artefact.
func (c *fetchCmd) findAttempt(ctx context.Context, stores *client.Client) (*pb.Attempt, error) {
	selection := selectionFlags{Target: c.Target, Attempt: cmp.Or(c.Attempt, allAttempts)}
	attempts, err := selection.selectAttempts(ctx, stores)
	if err != nil {
		return nil, err
	}
	isWanted := func(file *pb.Artefact) bool { return file.Path == c.Path }
	for _, summary := range slices.Backward(attempts) {
		if summary.Artefacts == 0 {
			continue
		}
		description, err := stores.Describe(ctx, summary.Attempt)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(description.Seal.GetArtefacts(), isWanted) {
			return summary.Attempt, nil
		}
	}
	return nil, fmt.Errorf("%s has no artefact %s; `reedtrack artefacts %s` lists its artefacts", c.Target, outputs.EscapePath(c.Path), c.Target)
}

// fileName returns the name of the destination file. The default is the last element of
// the artefact's path. It replaces backslashes, which some programs treat as directory
// separators.
func (c *fetchCmd) fileName() string {
	if c.Output != "" {
		return c.Output
	}
	return strings.ReplaceAll(path.Base(c.Path), "\\", "_")
}
