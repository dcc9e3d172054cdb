//go:build review

package main

import (
	"embed"
	"strings"
)

// wire holds what goes over the wire, in the words of the platform's pages; {name} is a gap.
//
//go:embed wire
var wire embed.FS

// text returns a file of wire with its gaps filled: pairs of a name and its value.
func text(file string, gaps ...string) string {
	b, err := wire.ReadFile("wire/" + file)
	if err != nil {
		panic(err)
	}
	for i := 0; i < len(gaps); i += 2 {
		gaps[i] = "{" + gaps[i] + "}"
	}
	return strings.NewReplacer(gaps...).Replace(string(b))
}

// head returns the same as lines of HTTP.
func head(file string, gaps ...string) string {
	return strings.ReplaceAll(text(file, gaps...), "\n", "\r\n")
}

// header returns the name of a header.
func header(file string) string { return strings.TrimSpace(text(file)) }
