package emulator

import (
	"encoding/json"
	"io"
	"net/http"

	"reedtrack/internal/protocol"
)

// maxBodyBytes is the maximum number of bytes read of a request body; the emulated
// services receive no larger one.
const maxBodyBytes = 1 << 20

// readBody returns the body of a request, truncated to maxBodyBytes.
func readBody(r *http.Request) []byte {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	return body
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
