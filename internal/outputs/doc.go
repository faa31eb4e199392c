// Package outputs contains the types and functions that captures, stores and readers of
// task outputs share: the identity of an attempt, blocks of its records, chunks of its
// artefacts, and the digest with which a reader verifies that the output is complete.
//
// The standard output and error of a task attempt are recorded as numbered records,
// which are transmitted and stored in compressed blocks. Files that the task produces,
// its artefacts, are split into content-addressed chunks. A seal completes the attempt:
// it contains the number of records, their digest, the task's exit status and the list
// of artefacts.
//
// The schema is in proto/reedtrack/outputs/v1; outputsv1 is generated from it by
// internal/tools/protogen.
package outputs
