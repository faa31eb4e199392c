package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

// maxErrorBytes is the maximum length of a printed error response.
const maxErrorBytes = 1000

// demoJobs are the jobs that the demo submits. Their commands are run by the emulated
// workers; controllers ignore them.
var demoJobs = []string{
	`{"id":"wk-000001","jobclass":"maze","owner":"demo","shape":"array","urgency":"normal","parts":8,"cores":1.0,"cards":0.0,"ram_gb":1.0,"bundle":"demo","pull_gb":0.1,
	"one_zone":false,"spread":false,"loaners":true,"guess_s":6.0,"save_every_s":0.0,"save_takes_s":0.0,
	"command":["sh","-c","for i in $(seq 1 20); do echo maze $REEDTRACK_TASK: step $i; sleep 0.3; done; mkdir -p proofs; echo solved by try $REEDTRACK_TRY > proofs/$REEDTRACK_TASK.txt"],
	"keep":["proofs/*.txt"]}`,
	`{"id":"wk-000002","jobclass":"check","owner":"demo","shape":"array","urgency":"normal","parts":4,"cores":1.0,"cards":0.0,"ram_gb":1.0,"bundle":"demo","pull_gb":0.1,
	"one_zone":false,"spread":false,"loaners":true,"guess_s":3.0,"save_every_s":0.0,"save_takes_s":0.0,
	"command":["sh","-c","echo checking part $REEDTRACK_TASK; if [ $((REEDTRACK_TRY % 2)) = 0 ]; then echo solution does not hold >&2; exit 1; fi; echo holds"]}`,
	`{"id":"wk-000003","jobclass":"cut","owner":"demo","shape":"array","urgency":"low","parts":1,"cores":1.0,"cards":0.0,"ram_gb":1.0,"bundle":"demo","pull_gb":0.1,
	"one_zone":false,"spread":false,"loaners":true,"guess_s":60.0,"save_every_s":0.0,"save_takes_s":0.0,
	"command":["sh","-c","for i in $(seq 1 120); do echo cut $i of 120; sleep 0.5; done"]}`,
}

// submitDemoJobs sends the job descriptions to the emulated workers and submits the jobs.
func submitDemoJobs(ctx context.Context) error {
	client := transport.NewUserClient(strings.Split(demoControllers, ","))
	for _, text := range demoJobs {
		if err := describeDemoJob(text); err != nil {
			return err
		}
		if _, err := client.Send(ctx, http.MethodPost, "/v1/jobs", []byte(text)); err != nil {
			return err
		}
		job, err := protocol.ParseJob([]byte(text))
		if err != nil {
			return err
		}
		fmt.Printf("submitted %s, %d tasks\n", job.ID, job.Tasks)
	}
	return nil
}

// describeDemoJob sends a job description to the emulated workers.
func describeDemoJob(text string) error {
	resp, err := http.Post("http://"+demoCloud+"/describe", "application/json", strings.NewReader(text))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("emulated cloud rejected a job description: %s: %s", resp.Status, body)
	}
	return nil
}
