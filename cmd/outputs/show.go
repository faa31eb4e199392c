package main

import (
	"context"
	"fmt"
	"os"

	"golang.org/x/term"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
)

// outputPrinter prints an attempt's output to standard output, and reports missing
// parts on standard error.
type outputPrinter struct {
	raw        bool // print the task's bytes unescaped and without gap messages
	checksSeal bool // all of the output is read, so its digest must match the seal
	complete   bool // nothing is missing except what the limits left out
	bar        *progressBar
}

// showOutput prints an attempt's output and reports whether it was complete.
func (c *logsCmd) showOutput(ctx context.Context, stores *client.Client, attempt *pb.Attempt, sinceNs int64) (complete bool, err error) {
	// Escape control characters for a terminal; write the original bytes to a file.
	toTerminal := term.IsTerminal(int(os.Stdout.Fd()))
	printer := &outputPrinter{
		raw:        c.Raw || !toTerminal,
		checksSeal: c.Tail == 0 && sinceNs == 0 && c.Stream == "",
		complete:   true,
	}
	if !toTerminal && !c.Follow {
		printer.bar = newProgressBar(unknownSize, "reading")
		defer printer.bar.Close()
	}
	request := &pb.ReadRequest{
		Attempt:   attempt,
		TailLines: c.Tail,
		SinceNs:   sinceNs,
		Follow:    c.Follow,
		Streams:   c.streams(),
	}
	err = stores.Read(ctx, request, printer.print)
	return printer.complete, err
}

// streams returns the selected streams; nil means all.
func (c *logsCmd) streams() []pb.Stream {
	switch c.Stream {
	case "stdout":
		return []pb.Stream{pb.Stream_STREAM_STDOUT}
	case "stderr":
		return []pb.Stream{pb.Stream_STREAM_STDERR}
	}
	return nil
}

func (p *outputPrinter) print(message *pb.ReadResponse) error {
	var text []byte
	for _, record := range message.Records {
		text = p.appendRecord(text, record)
	}
	p.reportMissing(message)
	if p.bar != nil {
		p.bar.Add(len(text))
	}
	_, err := os.Stdout.Write(text)
	return err
}

func (p *outputPrinter) appendRecord(text []byte, record *pb.Record) []byte {
	switch {
	case record.Stream == pb.Stream_STREAM_GAP:
		return p.appendGap(text, record.Data)
	case p.raw:
		return append(text, record.Data...)
	}
	return outputs.Escape(text, record.Data)
}

// appendGap reports output that the limits have left out: in the text, or in raw mode on
// standard error.
func (p *outputPrinter) appendGap(text, data []byte) []byte {
	var gap pb.Gap
	if proto.Unmarshal(data, &gap) != nil {
		return text
	}
	if p.raw { // keep the message out of the task's bytes
		fmt.Fprintln(os.Stderr, outputs.FormatGap(&gap))
		return text
	}
	text = append(text, outputs.FormatGap(&gap)...)
	return append(text, '\n')
}

// reportMissing reports output that could not be read.
func (p *outputPrinter) reportMissing(message *pb.ReadResponse) {
	if hole := message.Hole; hole != nil {
		p.complete = false
		fmt.Fprintf(os.Stderr, "[reedtrack: records %d to %d are unavailable: no store that responds has them]\n", hole.From, hole.To-1)
	}
	for _, name := range message.Unreachable {
		fmt.Fprintf(os.Stderr, "[reedtrack: store %s does not respond: records of this open attempt that only it holds are missing]\n", name)
	}
	if message.End && p.checksSeal && p.complete && !message.Intact {
		p.complete = false
		fmt.Fprintln(os.Stderr, "[reedtrack: the output is incomplete or damaged: its digest does not match the seal]")
	}
}
