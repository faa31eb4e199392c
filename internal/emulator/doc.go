// Package emulator emulates the services around reedtrack in one process: the
// key-value store ([KVStore]), the cloud and its workers ([Fleet]), and workers
// that run real commands ([Runner]). They implement the protocol independently of any
// real service's code and keep all state in memory.
//
// Tests use them in simulated or real time, and cmd/standin serves them over HTTP so that
// reedtrack can be tried out on one machine. They are not intended for production.
package emulator
