package inifile

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Fault is one thing wrong in a file.
type Fault struct {
	File    string
	Line    int
	Section string
	Key     string
	// Expected says what would have been right.
	Expected string
}

// String writes the fault as "file:line: [section] key: expected ...".
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:", f.File, f.Line)
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", printable(f.Section))
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s:", printable(f.Key))
	}
	fmt.Fprintf(&b, " expected %s", printable(f.Expected))
	return b.String()
}

// maxText is how much of a file's own text a fault shows, in runes.
const maxText = 200

// printable cuts text that a file brought, and quotes what a terminal would take
// for more than text.
func printable(text string) string {
	runes := []rune(text)
	if len(runes) > maxText {
		text = string(runes[:maxText]) + "..."
	}
	plain := func(r rune) bool { return r != utf8.RuneError && unicode.IsPrint(r) }
	if strings.IndexFunc(text, func(r rune) bool { return !plain(r) }) < 0 {
		return text
	}
	return strconv.QuoteToASCII(text)
}

// Faults is every fault of a file, in the order of its lines.
type Faults []Fault

// maxFaults is how many faults are listed.
const maxFaults = 20

// Error implements error with one fault a line.
func (f Faults) Error() string {
	var lines []string
	for _, fault := range f[:min(len(f), maxFaults)] {
		lines = append(lines, fault.String())
	}
	if more := len(f) - maxFaults; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "\n")
}

// Err returns nil when there are no faults.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
