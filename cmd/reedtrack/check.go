package main

import (
	"cmp"
	"fmt"

	"reedtrack/internal/config"
)

type checkCmd struct{ settingsFlags }

// Run checks the settings and prints the values derived from them.
func (c *checkCmd) Run() error {
	set, op, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf("%s at %s, %d controllers, %d teams\n", set.HostName, set.Listen, set.Deployment.Count, len(set.Deployment.Teams))
	printCapacity(set, op)
	printTeamLimits(set.Deployment.Teams)
	printTiming(set, op)
	return nil
}

// printCapacity prints the capacity of shards and the limits of the key-value store.
func printCapacity(set *config.Settings, op config.Operator) {
	fmt.Printf("ucfit              a=%g b=%g c=%g\n", op.UCfitA, op.UCfitB, op.UCfitC)
	fmt.Printf("shards             %d, each filled to %d machines before the next\n", op.Shards, op.FillMachines)
	capacity := set.SingleRecordCapacity()
	fmt.Printf("capacity           %d machines a shard by state.value_kb %g, %d in all\n", capacity, set.Deployment.State.ValueKB, op.Shards*capacity)
	fmt.Printf("after the upgrade  %d machines a shard by limits.max_sockets; records are divided over values\n", set.MaxShardMachines())
	limits := set.StoreLimits()
	fmt.Printf("writes then        at most %g a second, %d in a transaction, %g KiB in a value (the lower of state and state.next); a job may wait for %d others\n",
		limits.WriteRPS, limits.TxnOps, limits.ValueKB, set.MaxDependencies())
}

// printTeamLimits prints the number of processors that all teams together may use.
func printTeamLimits(teams []config.Team) {
	total, allLimited := 0.0, len(teams) > 0
	for _, team := range teams {
		total += team.CPUsMax
		allLimited = allLimited && team.CPUsMax > 0
	}
	if allLimited {
		fmt.Printf("limits             %g processors in all by the teams' cpus_max\n", total)
	} else {
		fmt.Printf("limits             none: not every team has a cpus_max\n")
	}
}

// printTiming prints the derived durations and the bound on cancellations.
func printTiming(set *config.Settings, op config.Operator) {
	timing := set.Timing(op)
	fmt.Printf("idle-boots         %g\n", op.IdleBoots)
	fmt.Printf("holder-lease-s     %.3f, acts for %.3f s after a renewal\n", timing.HolderLease.Seconds(), timing.LeaseValidity.Seconds())
	fmt.Printf("worker is gone     after %.3f s of silence\n", timing.WorkerTimeout.Seconds())
	fmt.Printf("status-listen      %s\n", cmp.Or(op.StatusListen, "none"))
	fmt.Printf("cancelled          %s < workers.cancel_s %g\n", config.FormatTerms(set.CancelBound(op)), set.Deployment.Workers.CancelS)
}
