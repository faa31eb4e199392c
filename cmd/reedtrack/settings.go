package main

import "reedtrack/internal/config"

// settingsFlags are the flags for the settings files of a controller.
type settingsFlags struct {
	Config   string `name:"config" required:"" placeholder:"FILE" help:"Settings of the platform (TOML)."`
	Operator string `name:"operator" placeholder:"FILE" env:"REEDTRACK_OPERATOR" help:"Operators' own settings (XML)."`
}

// load reads and checks both settings files.
func (f *settingsFlags) load() (*config.Settings, config.Operator, error) {
	set, err := config.Load(f.Config)
	if err != nil {
		return nil, config.Operator{}, err
	}
	op, err := set.LoadOperator(f.Operator)
	return set, op, err
}
