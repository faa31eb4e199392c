package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"golang.org/x/term"

	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
)

// progressAttempts is the number of attempts between two progress messages of a long
// listing.
const progressAttempts = 10 * pageSize

// attemptTable prints attempts as a table or as JSON lines.
type attemptTable struct {
	asJSON bool
	writer *tabwriter.Writer
	rows   uint32
}

// listAttempts prints the attempts of a job, up to --limit of them.
func (c *logsCmd) listAttempts(ctx context.Context, stores *client.Client, request *pb.ListRequest) error {
	var err error
	if request.After, err = hex.DecodeString(c.After); err != nil {
		return usageError{fmt.Errorf("--after %s: not a value printed by a previous listing", c.After)}
	}
	table := &attemptTable{asJSON: c.JSON, writer: newTable()}
	unreachable := map[string]bool{}
	for c.Limit == 0 || table.rows < c.Limit {
		if c.Limit > 0 {
			request.Limit = min(pageSize, c.Limit-table.rows)
		}
		page, err := stores.List(ctx, request)
		if err != nil {
			return err
		}
		for _, name := range page.Unreachable {
			unreachable[name] = true
		}
		for _, summary := range page.Attempts {
			if err := table.add(summary); err != nil {
				return err
			}
		}
		if request.After = page.Next; len(request.After) == 0 {
			break
		}
		if c.Limit == 0 {
			table.printProgress()
		}
	}
	if err := table.writer.Flush(); err != nil {
		return err
	}
	warnUnreachable(unreachable)
	if table.rows == 0 {
		return c.notFoundError(unreachable)
	}
	if len(request.After) > 0 {
		fmt.Fprintf(os.Stderr, "more: --after %x\n", request.After)
	}
	return nil
}

// add writes one attempt.
func (t *attemptTable) add(summary *pb.Summary) error {
	t.rows++
	if t.asJSON {
		return printJSON(summary)
	}
	if t.rows == 1 {
		fmt.Fprintln(t.writer, "TASK\tTRY\tMACHINE\tSTATUS\tLAST OUTPUT\tLINES\tBYTES\tLEFT OUT\tFILES\tCOPIES")
	}
	attempt, tally := summary.Attempt, summary.Tally
	lastOutput := ""
	if tally.GetLastNs() > 0 {
		lastOutput = time.Unix(0, tally.LastNs).UTC().Format("2006-01-02 15:04:05Z")
	}
	fmt.Fprintf(t.writer, "%d\t%d\t%s.%d\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n",
		attempt.Task,
		attempt.Try,
		attempt.Machine, attempt.Stint,
		statusText(summary),
		lastOutput,
		tally.GetStdoutLines()+tally.GetStderrLines(),
		tally.GetStdoutBytes()+tally.GetStderrBytes(),
		tally.GetMissingBytes(),
		summary.Artefacts,
		copiesText(summary))
	return nil
}

// printProgress prints the number of attempts so far, every progressAttempts attempts and
// only to a terminal.
func (t *attemptTable) printProgress() {
	if t.rows%progressAttempts < pageSize && term.IsTerminal(int(os.Stderr.Fd())) {
		fmt.Fprintf(os.Stderr, "%d attempts\r", t.rows)
	}
}

// statusText describes how an attempt has ended.
func statusText(summary *pb.Summary) string {
	switch {
	case !summary.Sealed:
		return "open"
	case summary.Cause == "lost":
		return "end not seen"
	case summary.Signal != "":
		return "ended by " + summary.Signal
	case summary.Cause == "not_started":
		return "could not be started"
	case summary.Exit == 0:
		return "done"
	}
	return fmt.Sprintf("failed with status %d", summary.Exit)
}

// copiesText returns the number of complete copies of an attempt on the stores that
// responded.
func copiesText(summary *pb.Summary) string {
	switch {
	case !summary.Sealed:
		return "-"
	case summary.Thin:
		return fmt.Sprintf("%d, too few", summary.Copies)
	}
	return strconv.Itoa(int(summary.Copies))
}
