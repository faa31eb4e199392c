// Package spool buffers the output of a task on the worker's disk until a store has it.
// The buffer is bounded, and stays readable if its process is killed at any moment.
//
// A spool is a directory of files, each a sequence of frames (see package framing) with
// one record per frame. Sequence numbers are not stored with the records: the name of a
// file holds the sequence number of its first record, and the others follow.
//
//	q-NUMBER-FIRST-KIND  files of the queue, ordered by NUMBER
//	t-EPISODE-NUMBER     files of the tail, while there is one; EPISODE counts the tails
//	lock                 locked by the process that has the spool open
//
// Records that do not fit into the queue are written to a tail, so that the end of the
// output is kept rather than its middle. A tail has two files: when the newer one is
// full, the older one is removed. When the tail ends, its files are moved to the queue.
// Each tail file begins with a gap record that counts the records removed before it, so
// that the gap is known even if the process is killed. In the queue only the gap record
// of the tail's first file counts.
package spool
