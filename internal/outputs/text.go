package outputs

import (
	"fmt"
	"unicode"
	"unicode/utf8"

	pb "reedtrack/internal/outputs/outputsv1"
)

// Escape appends text so that it can be shown on a terminal. Newlines and tabs stay;
// all that could control a terminal or hide something is written as \xNN or \u{N}, and
// a backslash as two. Carriage returns before a newline are left out.
func Escape(to, text []byte) []byte { return escape(to, text, true) }

// escape is Escape; without lines, newlines and tabs are written as \xNN too.
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
			case !unicode.IsPrint(r): // controls, directions, what is not assigned
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

// EscapePath returns a file's path as it is kept and shown: nothing in it can control a
// terminal, and no two paths have the same name.
func EscapePath(p string) string { return string(escape(nil, []byte(p), false)) }

// gapReasons are the reasons of a gap as readers are told them.
var gapReasons = map[string]string{
	"rate":  "they came faster than is kept",
	"size":  "the output is larger than is kept",
	"spool": "the store was away for too long",
	"lost":  "they were lost with the machine's spool",
}

// FormatGap returns the line that stands for a gap in a log.
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
