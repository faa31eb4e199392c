package config

import (
	"testing"
	"time"
)

func TestParseOperatorOverDefaults(t *testing.T) {
	s := parseSite(t)
	op, err := s.ParseOperator("op.xml", []byte(`<reedtrack><ucfit><a>3</a><c>0.1</c></ucfit><shards>1</shards></reedtrack>`))
	if err != nil {
		t.Fatal(err)
	}
	if op.UCfitA != 3 || op.UCfitC != 0.1 || op.Shards != 1 {
		t.Errorf("settings from the file are not applied: %+v", op)
	}
	if op.UCfitB != 1 || op.HolderLease != 8*time.Second {
		t.Errorf("defaults are not applied: %+v", op)
	}
}

// The default of fill-machines is valid even if there are fewer sockets than machines in
// a single record.
func TestDefaultFillMachinesWithFewSockets(t *testing.T) {
	s := parseSite(t)
	s.Deployment.Limits.MaxSockets = 100
	if op, err := s.ParseOperator("op.xml", []byte(`<reedtrack></reedtrack>`)); err != nil || op.FillMachines != 67 {
		t.Errorf("fills to %d machines, want 67: %v", op.FillMachines, err)
	}
}

func TestParseOperatorRefusesInvalidSettings(t *testing.T) {
	s := parseSite(t)
	for _, c := range []struct{ name, xml, want string }{
		{"unknown element", "<reedtrack>\n<shard>1</shard></reedtrack>", "unknown element on line 2"},
		{"no shards", "<reedtrack><shards>0</shards></reedtrack>", "from 1 to 64"},
		{"lease too long for cancellations", "<reedtrack><holder-lease-s>30</holder-lease-s></reedtrack>", "must be below workers.cancel_s 44s"},
		{"negative parameter", "<reedtrack><ucfit><a>-1</a></ucfit></reedtrack>", "from 0 to 100"},
		{"word for a number", "<reedtrack><ucfit><a>two</a></ucfit></reedtrack>", "two"},
		{"unclosed element", "<reedtrack>", "EOF"},
		{"unknown attribute", `<reedtrack><idle-boots unit="s">1</idle-boots></reedtrack>`, "unknown attribute"},
		{"no machines", "<reedtrack><fill-machines>0</fill-machines></reedtrack>", "from 1 to 750, what a record"},
		{"address without a port", "<reedtrack><status-listen>nowhere</status-listen></reedtrack>", "address"},
		{"unknown element for outputs", "<reedtrack><outputs>\n<copy>2</copy></outputs></reedtrack>", "outputs/copy: unknown element on line 2"},
		{"too many copies of outputs", "<reedtrack><outputs><copies>9</copies></outputs></reedtrack>", "outputs/copies: must be from 1 to 7"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := s.ParseOperator("op.xml", []byte(c.xml))
			expectError(t, err, c.want)
		})
	}
}

// The deployed settings file that enables task outputs is accepted by both controllers
// and output stores.
func TestDeployedOutputsFile(t *testing.T) {
	const file = "../../deploy/outputs.xml"
	op, err := parseSite(t).LoadOperator(file)
	if err != nil || op.Outputs.Page == "" || op.UCfitA != 2 {
		t.Errorf("read by a controller: %+v, %v", op.Outputs, err)
	}
	if o, err := LoadOutputs(file); err != nil || o.Copies != 2 {
		t.Errorf("read by a store: %+v, %v", o, err)
	}
}
