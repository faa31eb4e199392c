// Package disk stores task outputs on one disk.
//
// # Files
//
// A data directory holds numbered segments and an index. Segments are append-only files of
// entries: an attempt is opened, blocks of its records follow, and a seal ends it; chunks
// of artefacts are stored beside them. The segments are authoritative. The index, an
// embedded B+ tree, only locates the live entries and is rebuilt from the segments if it
// is lost.
//
// # Writing
//
// [Store.Put] checks its entries and passes them to the single writer goroutine. The
// writer combines waiting requests into one write and one sync (group commit), applies
// the entries to the in-memory state, and only then acknowledges them. A checkpoint brings
// the index up to date with the segments every second or so; [Open] replays the log from
// the last checkpoint.
//
// # Space
//
// A dropped attempt is deleted from the index. Its entries stay in the segments as dead
// bytes until [Store.Compact] copies the live entries of some segments into new ones and
// removes the old ones. Chunks are shared by the attempts that reference them;
// [Store.RemoveOrphanChunks] removes those that are no longer referenced.
//
// # Damage
//
// Each entry has a checksum. An entry whose checksum does not match, whether a reader,
// [Store.Scrub] or compaction finds it, is treated as missing from then on, so that
// anti-entropy repair copies it from another member.
//
// # Locks
//
// indexMu is held while the index is changed. It is acquired before mu, which guards the
// in-memory state. Reading the index requires neither.
package disk
