package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

// clientFlags are the flags of the commands that send requests to a controller.
type clientFlags struct {
	Server []string `name:"server" required:"" env:"REEDTRACK_SERVER" placeholder:"HOST:PORT" help:"Addresses of controllers, any of them; tried in turn."`
	JSON   bool     `name:"json" help:"Print the service's answer as it is."`
}

// client returns a client that tries the controllers in turn.
func (f *clientFlags) client() *transport.UserClient { return transport.NewUserClient(f.Server) }

// post sends a request that changes a job, and prints the job's status.
func (f *clientFlags) post(path string, body []byte) error {
	response, err := f.client().Send(context.Background(), http.MethodPost, path, body)
	if err != nil {
		return err
	}
	return f.printJob(response)
}

// printJob prints the job status in a controller's response.
func (f *clientFlags) printJob(response []byte) error {
	if f.JSON {
		_, err := fmt.Println(strings.TrimSpace(string(response)))
		return err
	}
	var job protocol.JobStatus
	if err := json.Unmarshal(response, &job); err != nil {
		return err
	}
	if job.Status == protocol.Running {
		fmt.Printf("%s %s, %d tasks running, %d done\n", job.ID, job.Status, job.Running, job.Done)
	} else {
		fmt.Printf("%s %s\n", job.ID, job.Status)
	}
	return nil
}

// jobPath returns the URL path of a job, or a usageError if id is not a valid job ID.
func jobPath(id string) (string, error) {
	if !protocol.ValidJobID(id) {
		return "", usageError{fmt.Errorf("%q is no job id; they look like wk-000412", id)}
	}
	return "/v1/jobs/" + id, nil
}
