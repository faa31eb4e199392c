// Package quota divides the maximum quota of a team among the shards with demand for it.
//
// The input is the quota and a [Demand] for each shard: its usage, its requested amount
// and the size of its tasks. The output of [Divide] is the share of each shard.
//
// Each controller in internal/coordination calls Divide for the teams that lack quota,
// with the demand of its own shards and of the shards whose status other controllers have
// published. Divide is a pure function, so controllers with the same input compute the
// same shares. The share stored for a shard in the key-value store determines what the
// shard may use; the computed shares only determine which stored shares to decrease and
// which to increase.
package quota
