package protocol

import (
	"strings"
	"testing"
)

func TestParseHeartbeat(t *testing.T) {
	const valid = `{"reed":"host-000231","address":"10.1.0.232:9000","breed":"g8","yard":"a","loaners":true,"stint":1,"tally":88,
	"baton":41,"warning_s":null,"parts":[{"part":"wk-000412/3","try":2,"status":"running"}]}`
	heartbeat, err := ParseHeartbeat([]byte(valid))
	if err != nil || heartbeat.Tasks[0].Attempt != 2 || heartbeat.InterruptionSeconds != nil {
		t.Fatal(heartbeat, err)
	}
	for _, test := range []struct {
		name, old, new string
	}{
		{"session 0", `"stint":1`, `"stint":0`},
		{"sequence negative", `"tally":88`, `"tally":-1`},
		{"task without index", "wk-000412/3", "wk-000412"},
		{"task index with leading zero", "wk-000412/3", "wk-000412/03"},
		{"task state unknown", `"running"`, `"invalid"`},
		{"machine empty", `"host-000231"`, `""`},
		{"attempt a string", `"try":2`, `"try":"2"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := ParseHeartbeat([]byte(strings.Replace(valid, test.old, test.new, 1))); err == nil {
				t.Errorf("%s was accepted", test.new)
			}
		})
	}
}
