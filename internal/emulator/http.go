package emulator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"reedtrack/internal/protocol"
)

// readBody returns the body of a request. ok is false if the request must be rejected,
// because it can't be read or is over protocol.MaxBodyBytes.
func readBody(r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, protocol.MaxBodyBytes+1))
	return body, err == nil && len(body) <= protocol.MaxBodyBytes
}

// longestLine returns the length of the longest line of a response in bytes.
func longestLine(response []byte) int {
	longest := 0
	for line := range bytes.Lines(response) {
		longest = max(longest, len(bytes.TrimRight(line, "\r\n")))
	}
	return longest
}

// writeJSON sends a response. Status 0, for a cancelled request, is sent as 503.
func writeJSON(w http.ResponseWriter, status int, response any) {
	w.Header().Set("Content-Type", "application/json")
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(response)
}

// writeError sends an error response with the reason.
func writeError(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, protocol.ErrorResponse{Error: reason})
}
