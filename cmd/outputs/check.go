package main

import (
	"fmt"
	"time"

	"reedtrack/internal/outputs/access"
	"reedtrack/internal/outputs/daemon"
	"reedtrack/internal/outputs/settings"
)

// checkCmd implements the command check.
type checkCmd struct{ settingsFlags }

// Run validates the settings and prints the resulting configuration of the store.
func (s *checkCmd) Run() error {
	c, err := s.load()
	if err != nil {
		return err
	}
	set := &c.Settings
	fmt.Printf("store %s in zone %s at %s, data in %s\n", c.Name, c.Zone, c.Listen, c.Dir)
	printMembers(&c)
	fmt.Printf("copies             %d, copied again %v after a store is gone, at %s a second\n", set.Copies, set.RepairDelay, mebibytes(set.RepairRate))
	printLimits(set)
	for _, retention := range set.Retention {
		printRetention(retention)
	}
	certificate, err := describeCertificate(set)
	if err != nil {
		return err
	}
	fmt.Printf("tls                %s\n", certificate)
	fmt.Printf("tokens             %d\n", len(set.Tokens))
	return nil
}

func printMembers(c *daemon.Config) {
	if c.KeyValueStore == nil {
		fmt.Println("members            alone: no --config")
		return
	}
	fmt.Printf("members            lease %v; at most %g of the state service's rate for all stores together\n", c.Settings.Lease, c.Settings.StateShare)
}

func printLimits(set *settings.Outputs) {
	fmt.Printf("disk               segments of %s, at most %s, %s of the disk left free\n", mebibytes(uint64(set.SegmentBytes)), mebibytes(set.MaxBytes), mebibytes(set.ReserveBytes))
	fmt.Printf("attempt            output %s, %s a second; artefacts %s\n", mebibytes(set.AttemptBytes), mebibytes(set.AttemptRate), mebibytes(set.ArtefactBytes))
	fmt.Printf("team               on one store %s, through one store %s a second\n", mebibytes(set.TeamBytes), mebibytes(set.TeamRate))
	fmt.Printf("all teams          through one store %s a second\n", mebibytes(set.StoreRate))
}

// mebibytes formats a limit in bytes; 0 means no limit.
func mebibytes(bytes uint64) string {
	const mebibyte = 1 << 20
	if bytes == 0 {
		return "no bound"
	}
	return fmt.Sprintf("%g MiB", float64(bytes)/mebibyte)
}

func printRetention(r settings.Retention) {
	var subject string
	switch {
	case r.Team != "" && r.Class != "":
		subject = "class " + r.Class + " of team " + r.Team
	case r.Class != "":
		subject = "class " + r.Class
	case r.Team != "":
		subject = "team " + r.Team
	default:
		subject = "otherwise"
	}
	duration := "for ever"
	if r.Duration > 0 {
		duration = fmt.Sprintf("%g days", r.Duration.Hours()/24)
	}
	fmt.Printf("kept               %s: %s\n", subject, duration)
}

// describeCertificate loads the certificate, so that check reports an invalid one, and
// returns its file and expiry.
func describeCertificate(set *settings.Outputs) (string, error) {
	if set.Cert == "" {
		return "off", nil
	}
	reloader, err := access.LoadCertificate(set.Cert, set.Key)
	if err != nil {
		return "", err
	}
	cert, err := reloader.Certificate(nil)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s, until %s", set.Cert, cert.Leaf.NotAfter.Format(time.DateTime)), nil
}
