// Package outputsv1 holds the messages of the output stores, generated from
// proto/reedtrack/outputs/v1 by internal/tools/protogen.
package outputsv1
