package main

import (
	"path/filepath"
	"testing"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
)

// What the demo writes and submits is taken by the programs that it starts.
func TestDemo(t *testing.T) {
	dir := t.TempDir()
	parts, err := demoParts(dir, map[string]string{})
	if err != nil || len(parts) != 6 {
		t.Fatal(len(parts), err)
	}
	o, err := config.LoadOutputs(filepath.Join(dir, "operator-0.xml"))
	if err != nil || o.Copies != 2 || o.Page == "" {
		t.Errorf("%+v, %v", o, err)
	}
	for _, job := range demoJobs {
		if _, err := protocol.ParseJob([]byte(job)); err != nil {
			t.Error(err)
		}
	}
}
