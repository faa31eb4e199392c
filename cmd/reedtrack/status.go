package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

// statusPoll is the polling interval of --wait.
const statusPoll = 2 * time.Second

type statusCmd struct {
	clientFlags
	JobID string `arg:"" name:"id" help:"The job, as wk-000412."`
	Wait  bool   `name:"wait" help:"Wait until the job is done or withdrawn."`
}

// Run prints a job's status and, while it is blocked, the jobs that it depends on.
func (c *statusCmd) Run() error {
	path, err := jobPath(c.JobID)
	if err != nil {
		return err
	}
	client := c.client()
	for {
		response, err := client.Send(context.Background(), http.MethodGet, path, nil)
		if err != nil {
			return err
		}
		var job protocol.JobStatus
		if err := json.Unmarshal(response, &job); err != nil {
			return err
		}
		if c.Wait && job.Status != protocol.Done && job.Status != protocol.Cancelled {
			time.Sleep(statusPoll)
			continue
		}
		if err := c.printJob(response); err != nil {
			return err
		}
		if c.JSON || job.Status != protocol.Pending {
			return nil
		}
		return printDependencies(client, path)
	}
}

// printDependencies prints the dependencies of a job that are not done.
func printDependencies(client *transport.UserClient, path string) error {
	response, err := client.Send(context.Background(), http.MethodGet, path+"/waits", nil)
	if err != nil {
		return err
	}
	var dependencies protocol.JobDependencies
	if err := json.Unmarshal(response, &dependencies); err != nil {
		return err
	}
	for _, job := range dependencies.DependsOn {
		if job.Status != protocol.Done {
			fmt.Printf("  waits for %s, which is %s\n", job.ID, job.Status)
		}
	}
	return nil
}
