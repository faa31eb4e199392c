package settings

import (
	"encoding/xml"
	"errors"
	"strings"
	"testing"
	"time"
)

const testHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// parse reads settings from the content of an element <outputs>.
func parse(content string) (Outputs, error) {
	var element XML
	if err := xml.Unmarshal([]byte("<outputs>"+content+"</outputs>"), &element); err != nil {
		return Outputs{}, err
	}
	return element.Read()
}

func TestReadKeepsDefaultsOfAbsentElements(t *testing.T) {
	set, err := parse(`<copies>3</copies><attempt><mb>2</mb></attempt>
		<token><team>red</team><role>write</role><sha256>` + testHash + `</sha256></token>`)
	if err != nil || set.Copies != 3 || set.AttemptBytes != 2<<20 || len(set.Tokens) != 1 || set.Lease != 10*time.Second {
		t.Fatalf("settings %+v, error %v", set, err)
	}
}

func TestMostSpecificRetentionApplies(t *testing.T) {
	set, err := parse(`<keep><days>7</days></keep>
		<keep><team>red</team><days>0</days></keep>
		<keep><class>c</class><days>1</days></keep>
		<keep><team>red</team><class>c</class><days>2</days></keep>`)
	if err != nil {
		t.Fatal(err)
	}
	type subject struct{ team, class string }
	tests := map[subject]time.Duration{
		{"blue", "d"}: 7 * day,
		{"red", "d"}:  0,
		{"blue", "c"}: day,
		{"red", "c"}:  2 * day,
	}
	for s, want := range tests {
		if got := set.RetentionFor(s.team, s.class); got != want {
			t.Errorf("%+v is kept for %v, want %v", s, got, want)
		}
	}
}

func TestDefaultRetention(t *testing.T) {
	set := Defaults()
	if got := set.RetentionFor("x", "y"); got != 14*day {
		t.Errorf("kept for %v by default, want 14 days", got)
	}
}

func TestReadRefusesInvalidElements(t *testing.T) {
	tests := map[string]string{
		"<copies>0</copies>":                                     "copies: must be from 1 to 7",
		"<copies>1.5</copies>":                                   "copies: must be a whole number",
		"<lease-s>nan</lease-s>":                                 "lease-s",
		"<page>nowhere</page>":                                   "page: must be an address",
		"<tls><cert>a</cert></tls>":                              "tls: cert and key belong together",
		"<keep><team>red</team></keep>":                          "keep[0]/days",
		"<keep><days>1</days></keep><keep><days>2</days></keep>": "keep[1]: another one",
		"<token><role>write</role><sha256>" + testHash + "</sha256></token>":              "token[0]/team: missing",
		"<token><team>x</team><role>peer</role><sha256>" + testHash + "</sha256></token>": "token[0]/team",
		"<token><team>x</team><role>king</role><sha256>" + testHash + "</sha256></token>": "token[0]/role",
		"<token><team>x</team><role>read</role><sha256>12</sha256></token>":               "token[0]/sha256",
		"<disk><reserve-mb>1</reserve-mb></disk>":                                         "disk/reserve-mb: must be from 16",
	}
	for content, want := range tests {
		t.Run(want, func(t *testing.T) {
			_, err := parse(content)
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: error %v, want %q", content, err, want)
			}
			if !errors.As(err, new(*FieldError)) {
				t.Errorf("%s: error of type %T, want a *FieldError", content, err)
			}
		})
	}
}
