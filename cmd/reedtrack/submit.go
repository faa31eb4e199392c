package main

import (
	"io"
	"os"

	"reedtrack/internal/protocol"
)

// standardInput is the file argument that selects standard input.
const standardInput = "-"

type submitCmd struct {
	clientFlags
	File string `arg:"" name:"job" help:"File with the job as JSON; - for standard input."`
}

// Run submits a job. The job is sent unchanged and validated by the service.
func (c *submitCmd) Run() error {
	job, err := c.readJob()
	if err != nil {
		return usageError{err}
	}
	return c.post("/v1/jobs", job)
}

// readJob reads the job, truncated to the size at which the service rejects it as too large.
func (c *submitCmd) readJob() ([]byte, error) {
	in := os.Stdin
	if c.File != standardInput {
		file, err := os.Open(c.File)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	return io.ReadAll(io.LimitReader(in, protocol.MaxBodyBytes+1))
}
