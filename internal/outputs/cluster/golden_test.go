package cluster

import (
	"encoding/json"
	"testing"
)

// Members of different versions read each other's keys, so the JSON field names and
// the key prefix must not change.
func TestMemberGolden(t *testing.T) {
	const want = `o/member/s2 {"name":"s2","zone":"s3","address":"s4","id":"s5"}`
	m := Member{Name: "s2", Zone: "s3", Address: "s4", ID: "s5"}
	if raw, _ := json.Marshal(m); KeyPrefix+m.Name+" "+string(raw) != want {
		t.Errorf("%s%s %s, want %s", KeyPrefix, m.Name, raw, want)
	}
	var back Member
	if err := json.Unmarshal([]byte(want[len("o/member/s2 "):]), &back); err != nil || back != m {
		t.Errorf("%+v, %v", back, err)
	}
}
