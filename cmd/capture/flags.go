package main

import (
	"errors"
	"os"
	"time"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/capture"
	"reedtrack/internal/protocol"
)

const description = `Runs a command and keeps its output. Exit status: the command's own (its signal too); 127 or 126 when it could not be started; 2 for bad arguments. With --recover: 0 when all was shipped, 1 otherwise.`

// cli defines the command line. A tag sets the name of a flag that differs from its
// field's name.
type cli struct {
	Job        string   `placeholder:"wk-000412" help:"The task's job."`
	Task       uint32   `help:"The task's number."`
	Attempt    uint64   `name:"try" help:"The attempt, as the start command names it."`
	Team       string   `help:"The job's team."`
	Class      string   `help:"The job's class; it decides how long outputs are kept."`
	Machine    string   `help:"The worker's machine; the host's name if absent."`
	AgentEpoch uint64   `name:"stint" default:"1" help:"The worker's stint."`
	Dir        string   `type:"existingdir" default:"." help:"The task's directory."`
	Keep       []string `sep:"none" placeholder:"PATTERN" help:"Files to keep at the end, below the task's directory: proofs/*.txt, **/core.*"`

	Stores    []string `name:"to" required:"" env:"REEDTRACK_STORE" placeholder:"HOST:PORT" help:"Addresses of stores, any of them."`
	TokenFile string   `env:"REEDTRACK_TOKEN_FILE" placeholder:"FILE" help:"The team's token; only its owner may read the file. Or REEDTRACK_TOKEN."`
	CA        string   `placeholder:"FILE" help:"Certificates that the stores' are checked against; HOST:PORT then means https."`

	Spool      string        `default:"/var/tmp/reedtrack-spool" help:"Directory of the machine's spools."`
	SpoolMB    int64         `default:"256" help:"Bound of this attempt's output in the spool."`
	MaxMB      uint64        `name:"most-mb" default:"0" help:"Bound of the attempt's output; what is over it keeps its end. 0: what the stores say."`
	RateKB     uint64        `default:"0" help:"Bound of the attempt's output a second. 0: what the stores say."`
	ArtefactMB uint64        `default:"1024" help:"Bound of the files kept."`
	Hold       time.Duration `default:"5s" help:"For so long in all the task may be held up when it writes faster than is kept."`
	Drain      time.Duration `default:"30s" help:"After the command's end, how long shipping may take before the rest is left to --recover."`
	Linger     time.Duration `default:"2s" help:"After the command's end, how long its children may go on writing."`
	Trace      string        `placeholder:"HOST:PORT" help:"A collector of OTLP over HTTP, or file:PATH; none if absent."`

	Recover string   `placeholder:"DIR" help:"Ship what killed captures have left in a directory of spools, and end."`
	Command []string `arg:"" optional:"" passthrough:"" help:"The command, after --."`
}

// Shifts that convert the flags in MB and KB to bytes.
const (
	mebibyteShift = 20
	kibibyteShift = 10
)

func (c *cli) spoolBytes() int64     { return c.SpoolMB << mebibyteShift }
func (c *cli) artefactBytes() uint64 { return c.ArtefactMB << mebibyteShift }

// completeCommand validates the command and its flags, and sets defaults that depend on
// the machine.
func (c *cli) completeCommand() error {
	if len(c.Command) > 0 && c.Command[0] == "--" {
		c.Command = c.Command[1:]
	}
	if len(c.Command) == 0 {
		return errors.New("no command given: it must follow --")
	}
	if c.Machine == "" {
		c.Machine, _ = os.Hostname() // if it fails, the validation of the empty name below fails
	}
	for _, pattern := range c.Keep {
		if err := capture.CheckPattern(pattern); err != nil {
			return err
		}
	}
	if c.Class != "" {
		if err := outputs.CheckName("--class", c.Class); err != nil {
			return err
		}
	}
	if c.SpoolMB < 1 {
		return &protocol.InvalidFieldError{Field: "--spool-mb", Reason: "must be at least 1"}
	}
	return outputs.CheckAttempt(capture.Attempt(c.Job, c.Task, c.Attempt, c.Team, c.Machine, c.AgentEpoch))
}

// config returns the capture configuration that the flags describe.
func (c *cli) config() capture.Config {
	return capture.Config{
		Attempt: capture.AttemptInfo{
			Job:     c.Job,
			Task:    c.Task,
			Try:     c.Attempt,
			Team:    c.Team,
			Class:   c.Class,
			Machine: c.Machine,
			Stint:   c.AgentEpoch,
			Dir:     c.Dir,
			Keep:    c.Keep,
		},
		Spool:      c.Spool,
		SpoolBytes: c.spoolBytes(),
		Limits: capture.Limits{
			Bytes:          c.MaxMB << mebibyteShift,
			BytesPerSecond: c.RateKB << kibibyteShift,
			MaxDelay:       c.Hold,
		},
		ArtefactBytes: c.artefactBytes(),
		DrainTimeout:  c.Drain,
		PipeTimeout:   c.Linger,
		Command:       c.Command,
	}
}
