package main

import "fmt"

// version is the release version; the build may override it.
var version = "0.1.0"

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("reedtrack", version)
	return nil
}
