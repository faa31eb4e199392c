package config

import (
	"encoding/xml"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"
)

// Guards the names in the settings files: the golden files contain every field and must
// encode to the same text after decoding. A field that lost its TOML or XML name fails
// the test, and so does a new field that is missing from the golden file.
func TestSettingsGolden(t *testing.T) {
	for file, c := range map[string]struct {
		v    any
		read func([]byte, any) error
		show func(any) ([]byte, error)
	}{
		"settings.golden": {new(Settings), toml.Unmarshal, toml.Marshal},
		"operator.golden": {new(operatorXML), xml.Unmarshal, func(v any) ([]byte, error) { return xml.MarshalIndent(v, "", " ") }},
	} {
		want, err := os.ReadFile("testdata/" + file)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.read(want, c.v); err != nil {
			t.Fatal(file, err)
		}
		got, err := c.show(c.v)
		if d := cmp.Diff(string(want), string(got)); d != "" || err != nil {
			t.Error(file, d, err)
		}
	}
	raw, _ := os.ReadFile("testdata/operator.golden")
	if err := checkElements("operator.golden", raw); err != nil {
		t.Error(err)
	}
}
