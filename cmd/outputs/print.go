package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	// tableColumnGap is the number of spaces between two columns of a table.
	tableColumnGap = 2
	// barInterval is the minimum time between two redraws of a progress bar, short
	// enough that it visibly moves.
	barInterval = 200 * time.Millisecond
	// unknownSize is the size of a progress bar for data of unknown length.
	unknownSize = -1
)

// newTable returns a tabwriter on standard output.
func newTable() *tabwriter.Writer {
	const minWidth, tabWidth = 0, 8
	return tabwriter.NewWriter(os.Stdout, minWidth, tabWidth, tableColumnGap, ' ', 0)
}

// printJSON prints a message as one line of JSON.
func printJSON(message proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	fmt.Println(string(raw))
	return nil
}

// progressBar shows progress in bytes on standard error, if that is a terminal. Close
// may be called on a nil progressBar.
type progressBar struct {
	bar *progressbar.ProgressBar
}

func newProgressBar(size int64, label string) *progressBar {
	var out io.Writer = os.Stderr
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		out = io.Discard
	}
	return &progressBar{progressbar.NewOptions64(size,
		progressbar.OptionSetWriter(out),
		progressbar.OptionSetDescription(label),
		progressbar.OptionShowBytes(true),
		progressbar.OptionThrottle(barInterval),
		progressbar.OptionClearOnFinish(),
		progressbar.OptionSetPredictTime(true),
	)}
}

// Add advances the bar by a number of bytes.
func (p *progressBar) Add(bytes int) { p.bar.Add(bytes) }

// Set sets the bar to a total number of bytes.
func (p *progressBar) Set(bytes int64) { p.bar.Set64(bytes) }

// Close removes the bar.
func (p *progressBar) Close() {
	if p != nil {
		p.bar.Close()
	}
}
