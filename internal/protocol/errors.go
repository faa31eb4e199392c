package protocol

// ErrorResponse is the body of a response that rejects a request.
type ErrorResponse struct {
	Error string `json:"error"`
	// Field is the wire name of the invalid field, if the error concerns a single field.
	Field string `json:"field,omitempty"`
}

// InvalidFieldError reports an invalid field of a message. Field is its wire name,
// or "body" for the message as a whole.
type InvalidFieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason. The text is sent to clients.
func (e *InvalidFieldError) Error() string { return e.Field + ": " + e.Reason }
