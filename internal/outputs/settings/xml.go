package settings

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/url"
	"slices"
	"strings"
	"time"
)

// XML is the element <outputs> as written. Absent elements keep their defaults.
type XML struct {
	Page                  *string        `xml:"page"`
	Copies                *float64       `xml:"copies"`
	Lease                 *float64       `xml:"lease-s"`
	StateShare            *float64       `xml:"state-part"`
	SegmentMB             *float64       `xml:"disk>segment-mb"`
	MaxMB                 *float64       `xml:"disk>most-mb"`
	ReserveMB             *float64       `xml:"disk>reserve-mb"`
	StoreKBPerSecond      *float64       `xml:"disk>kb-per-s"`
	AttemptMB             *float64       `xml:"attempt>mb"`
	AttemptKBPerSecond    *float64       `xml:"attempt>kb-per-s"`
	ArtefactMB            *float64       `xml:"attempt>artefact-mb"`
	TeamMB                *float64       `xml:"team>mb"`
	TeamKBPerSecond       *float64       `xml:"team>kb-per-s"`
	RepairIntervalSeconds *float64       `xml:"repair>every-s"`
	RepairDelaySeconds    *float64       `xml:"repair>after-s"`
	RepairMBPerSecond     *float64       `xml:"repair>mb-per-s"`
	ScrubIntervalHours    *float64       `xml:"scrub>every-h"`
	ScrubMBPerSecond      *float64       `xml:"scrub>mb-per-s"`
	Retention             []retentionXML `xml:"keep"`
	Cert                  *string        `xml:"tls>cert"`
	Key                   *string        `xml:"tls>key"`
	CA                    *string        `xml:"tls>ca"`
	Tokens                []tokenXML     `xml:"token"`
	PeerToken             *string        `xml:"peer-token-file"`
	Trace                 *string        `xml:"trace"`
}

type retentionXML struct {
	Team  string   `xml:"team"`
	Class string   `xml:"class"`
	Days  *float64 `xml:"days"`
}

type tokenXML struct {
	Team string `xml:"team"`
	Role string `xml:"role"`
	Hash string `xml:"sha256"`
}

// ElementNames are the paths of all elements below <outputs>. Other elements are
// refused.
var ElementNames = []string{
	"page", "copies", "lease-s", "state-part",
	"disk", "disk/segment-mb", "disk/most-mb", "disk/reserve-mb", "disk/kb-per-s",
	"attempt", "attempt/mb", "attempt/kb-per-s", "attempt/artefact-mb",
	"team", "team/mb", "team/kb-per-s",
	"repair", "repair/every-s", "repair/after-s", "repair/mb-per-s",
	"scrub", "scrub/every-h", "scrub/mb-per-s",
	"keep", "keep/team", "keep/class", "keep/days",
	"tls", "tls/cert", "tls/key", "tls/ca",
	"token", "token/team", "token/role", "token/sha256",
	"peer-token-file", "trace",
}

// FieldError reports an invalid element, by its path below <outputs>, and the reason.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the element's path and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Units of the elements, in bytes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// maxRetentionDays is the maximum of the element keep/days: a hundred years.
const maxRetentionDays = 36500

// Read validates an element and returns the settings; a nil element yields the defaults.
// Every error is a *FieldError.
func (x *XML) Read() (Outputs, error) {
	set := Defaults()
	if x == nil {
		return set, nil
	}
	if err := x.readNumbers(&set); err != nil {
		return set, err
	}
	if err := x.readStrings(&set); err != nil {
		return set, err
	}
	if err := set.readRetention(x.Retention); err != nil {
		return set, err
	}
	if err := set.readTokens(x.Tokens); err != nil {
		return set, err
	}
	return set, nil
}

// numberElement is an element with a numeric value.
type numberElement struct {
	field    string
	value    *float64 // nil: absent
	min, max float64
	set      func(float64)
}

func (n *numberElement) read() error {
	if n.value == nil {
		return nil
	}
	isInRange := *n.value >= n.min && *n.value <= n.max // false for NaN
	if !isInRange {
		return &FieldError{n.field, fmt.Sprintf("must be from %g to %g", n.min, n.max)}
	}
	n.set(*n.value)
	return nil
}

func (x *XML) readCopies(set *Outputs) error {
	copies := numberElement{"copies", x.Copies, 1, 7, func(v float64) { set.Copies = int(v) }}
	if err := copies.read(); err != nil {
		return err
	}
	if x.Copies != nil && *x.Copies != math.Trunc(*x.Copies) {
		return &FieldError{"copies", "must be a whole number"}
	}
	return nil
}

func (x *XML) readNumbers(set *Outputs) error {
	if err := x.readCopies(set); err != nil {
		return err
	}
	numbers := []numberElement{
		{"lease-s", x.Lease, 1, 600, seconds(&set.Lease)},
		{"state-part", x.StateShare, 0.001, 0.5, func(v float64) { set.StateShare = v }},
		{"disk/segment-mb", x.SegmentMB, 1, 1024, func(v float64) { set.SegmentBytes = int64(v * mebibyte) }},
		{"disk/most-mb", x.MaxMB, 0, 1e9, bytes(&set.MaxBytes, mebibyte)},
		{"disk/reserve-mb", x.ReserveMB, 16, 1e6, bytes(&set.ReserveBytes, mebibyte)},
		{"disk/kb-per-s", x.StoreKBPerSecond, 0, 1e9, bytes(&set.StoreRate, kibibyte)},
		{"attempt/mb", x.AttemptMB, 1, 1e6, bytes(&set.AttemptBytes, mebibyte)},
		{"attempt/kb-per-s", x.AttemptKBPerSecond, 1, 1e7, bytes(&set.AttemptRate, kibibyte)},
		{"attempt/artefact-mb", x.ArtefactMB, 0, 1e6, bytes(&set.ArtefactBytes, mebibyte)},
		{"team/mb", x.TeamMB, 0, 1e9, bytes(&set.TeamBytes, mebibyte)},
		{"team/kb-per-s", x.TeamKBPerSecond, 0, 1e8, bytes(&set.TeamRate, kibibyte)},
		{"repair/every-s", x.RepairIntervalSeconds, 0.1, 3600, seconds(&set.RepairInterval)},
		{"repair/after-s", x.RepairDelaySeconds, 0, 86400, seconds(&set.RepairDelay)},
		{"repair/mb-per-s", x.RepairMBPerSecond, 0.1, 1e4, bytes(&set.RepairRate, mebibyte)},
		{"scrub/every-h", x.ScrubIntervalHours, 0.001, 8760, hours(&set.ScrubInterval)},
		{"scrub/mb-per-s", x.ScrubMBPerSecond, 0.1, 1e4, bytes(&set.ScrubRate, mebibyte)},
	}
	for i := range numbers {
		if err := numbers[i].read(); err != nil {
			return err
		}
	}
	return nil
}

// seconds, hours and bytes return functions that set a value from a number in a unit.

func seconds(to *time.Duration) func(float64) {
	return func(v float64) { *to = time.Duration(v * float64(time.Second)) }
}

func hours(to *time.Duration) func(float64) {
	return func(v float64) { *to = time.Duration(v * float64(time.Hour)) }
}

func bytes(to *uint64, unit float64) func(float64) {
	return func(v float64) { *to = uint64(v * unit) }
}

func (x *XML) readStrings(set *Outputs) error {
	setString(&set.Page, x.Page)
	setString(&set.Cert, x.Cert)
	setString(&set.Key, x.Key)
	setString(&set.CA, x.CA)
	setString(&set.PeerToken, x.PeerToken)
	setString(&set.Trace, x.Trace)
	if set.Page != "" && !isHTTPURL(set.Page) {
		return &FieldError{"page", "must be an address as http://127.0.0.1:8110"}
	}
	if (set.Cert == "") != (set.Key == "") {
		return &FieldError{"tls", "cert and key belong together"}
	}
	return nil
}

func setString(to *string, value *string) {
	if value != nil {
		*to = strings.TrimSpace(*value)
	}
}

func isHTTPURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// readRetention reads the elements <keep>. The default retention stays in effect for
// outputs that none of them covers, unless one names neither team nor class.
func (o *Outputs) readRetention(list []retentionXML) error {
	defaults := o.Retention
	o.Retention = nil
	for i, element := range list {
		field := fmt.Sprintf("keep[%d]", i)
		if element.Days == nil || !(*element.Days >= 0 && *element.Days <= maxRetentionDays) {
			return &FieldError{field + "/days", "must be from 0 (for ever) to 36500"}
		}
		retention := Retention{
			Team:     strings.TrimSpace(element.Team),
			Class:    strings.TrimSpace(element.Class),
			Duration: time.Duration(*element.Days * float64(day)),
		}
		if slices.ContainsFunc(o.Retention, retention.hasSameScope) {
			return &FieldError{field, "another one names the same team and class"}
		}
		o.Retention = append(o.Retention, retention)
		if retention.Team == "" && retention.Class == "" {
			defaults = nil
		}
	}
	o.Retention = append(o.Retention, defaults...)
	return nil
}

// readTokens reads the elements <token>.
func (o *Outputs) readTokens(list []tokenXML) error {
	for i, element := range list {
		field := fmt.Sprintf("token[%d]", i)
		token := Token{Team: strings.TrimSpace(element.Team), Role: strings.TrimSpace(element.Role)}
		if err := token.checkRole(field); err != nil {
			return err
		}
		hash, err := hex.DecodeString(strings.TrimSpace(element.Hash))
		if err != nil || len(hash) != len(token.Hash) {
			return &FieldError{field + "/sha256", "must hold 64 hexadecimal digits; `outputs token` makes them"}
		}
		copy(token.Hash[:], hash)
		if slices.ContainsFunc(o.Tokens, func(other Token) bool { return other.Hash == token.Hash }) {
			return &FieldError{field + "/sha256", "another token is the same"}
		}
		o.Tokens = append(o.Tokens, token)
	}
	return nil
}

// checkRole checks that a token has a known role, and a team if and only if the role
// requires one.
func (t *Token) checkRole(field string) error {
	switch t.Role {
	case "read", "write":
		if t.Team == "" {
			return &FieldError{field + "/team", "missing"}
		}
	case "all", "peer":
		if t.Team != "" {
			return &FieldError{field + "/team", "a token of role " + t.Role + " is no team's"}
		}
	default:
		return &FieldError{field + "/role", "must be write, read, all or peer"}
	}
	return nil
}
