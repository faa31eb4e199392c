package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
)

// artefactsCmd implements the command artefacts.
type artefactsCmd struct {
	queryFlags
	JSON bool `help:"As JSON, an attempt a line."`
}

// Run lists the stored artefacts, and the files that were refused.
func (c *artefactsCmd) Run() error {
	ctx := context.Background()
	stores, request, err := c.prepare()
	if err != nil {
		return err
	}
	var attempts []*pb.Summary
	if request.Task != nil {
		attempts, err = c.selectAttempts(ctx, stores)
	} else {
		attempts, err = attemptsWithFiles(ctx, stores, request)
	}
	if err != nil {
		return err
	}
	table := newTable()
	printed := 0
	for _, summary := range attempts {
		description, err := stores.Describe(ctx, summary.Attempt)
		if err != nil {
			return err
		}
		if !c.JSON {
			printed += printFiles(table, summary.Attempt, description.Seal)
			continue
		}
		if err := printJSON(description); err != nil {
			return err
		}
		printed++
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if printed == 0 {
		return fmt.Errorf("no artefacts are stored for %s", c.Target)
	}
	return nil
}

// attemptsWithFiles returns the attempts of a job that have stored or refused artefacts.
func attemptsWithFiles(ctx context.Context, stores *client.Client, request *pb.ListRequest) ([]*pb.Summary, error) {
	unreachable := map[string]bool{}
	var attempts []*pb.Summary
	for summary, err := range stores.ListAll(ctx, request, unreachable) {
		if err != nil {
			return nil, err
		}
		if summary.Artefacts+summary.Refused > 0 {
			attempts = append(attempts, summary)
		}
	}
	warnUnreachable(unreachable)
	return attempts, nil
}

// printFiles prints the files of one attempt and returns their number.
func printFiles(table *tabwriter.Writer, attempt *pb.Attempt, seal *pb.Seal) int {
	for _, file := range seal.GetArtefacts() {
		fmt.Fprintf(table, "%s/%d\ttry %d\t%d\t%s\n", attempt.Job, attempt.Task, attempt.Try, file.Size, file.Path)
	}
	for _, refused := range seal.GetRefused() {
		fmt.Fprintf(table, "%s/%d\ttry %d\tnot kept\t%s: %s\n", attempt.Job, attempt.Task, attempt.Try, refused.Path, outputs.EscapePath(refused.Reason))
	}
	return len(seal.GetArtefacts()) + len(seal.GetRefused())
}
