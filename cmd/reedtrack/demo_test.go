package main

import (
	"testing"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
)

// The settings and jobs of the demo are valid.
func TestDemoInputsAreValid(t *testing.T) {
	dir := t.TempDir()
	processes, err := demoProcesses(dir, map[string]string{})
	if err != nil || len(processes) != 6 {
		t.Fatalf("%d processes, %v", len(processes), err)
	}
	outputs, err := config.LoadOutputs(demoOperatorFile(dir, 0))
	if err != nil || outputs.Copies != 2 || outputs.Page == "" {
		t.Errorf("settings of outputs %+v, %v", outputs, err)
	}
	for _, job := range demoJobs {
		if _, err := protocol.ParseJob([]byte(job)); err != nil {
			t.Error(err)
		}
	}
}
