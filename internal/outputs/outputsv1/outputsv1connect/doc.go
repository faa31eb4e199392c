// Package outputsv1connect holds the clients and handlers of the output stores'
// services, generated from proto/reedtrack/outputs/v1 by internal/tools/protogen.
package outputsv1connect
