package outputs

import (
	"fmt"
	"unicode"
	"unicode/utf8"

	pb "reedtrack/internal/outputs/outputsv1"
)

// Escape appends text to a buffer in a form that is safe to print on a terminal.
// Newlines and tabs are kept; control characters, invalid UTF-8 and other non-printable
// characters become \xNN or \u{N}, and a backslash is doubled. A carriage return before
// a newline is dropped.
func Escape(to, text []byte) []byte { return escape(to, text, true) }

// escape implements Escape; if lines is false, it escapes newlines and tabs as well.
func escape(to, text []byte, lines bool) []byte {
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case lines && (c == '\n' || c == '\t'):
			to = append(to, c)
		case lines && c == '\r' && i+1 < len(text) && text[i+1] == '\n':
		case c == '\\':
			to = append(to, `\\`...)
		case c < ' ' || c == 0x7f:
			to = fmt.Appendf(to, `\x%02x`, c)
		case c < utf8.RuneSelf:
			to = append(to, c)
		default:
			r, n := utf8.DecodeRune(text[i:])
			switch {
			case r == utf8.RuneError && n == 1:
				to = fmt.Appendf(to, `\x%02x`, c)
			case !unicode.IsPrint(r): // control, bidirectional and unassigned characters
				to = fmt.Appendf(to, `\u{%x}`, r)
			default:
				to = append(to, text[i:i+n]...)
			}
			i += n
			continue
		}
		i++
	}
	return to
}

// EscapePath escapes a file's path for storage and display: the result is printable, and
// different paths have different results.
func EscapePath(p string) string { return string(escape(nil, []byte(p), false)) }

// gapReasons maps the reason codes of a gap to the descriptions that readers see.
var gapReasons = map[string]string{
	"rate":  "they came faster than is kept",
	"size":  "the output is larger than is kept",
	"spool": "the store was away for too long",
	"lost":  "they were lost with the machine's spool",
}

// FormatGap returns the line that is printed in place of a gap in a log.
func FormatGap(g *pb.Gap) string {
	more := ""
	if g.Unknown {
		more = "at least "
	}
	why := gapReasons[g.Reason]
	if why == "" {
		why = "reason not known"
	}
	return fmt.Sprintf("[reedtrack: %s%d bytes and %d lines of standard output, %d bytes and %d lines of standard error left out: %s]",
		more, g.StdoutBytes, g.StdoutLines, g.StderrBytes, g.StderrLines, why)
}
