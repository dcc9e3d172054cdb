package inifile

import (
	"bufio"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxSize bounds the text that Parse accepts, in bytes.
const MaxSize = 8 << 20

// File is parsed INI text.
type File struct {
	// Name is used in faults only.
	Name string
	// Sections are in the order of the text; names do not repeat.
	Sections []Section
}

// Section is one bracketed part of a file.
type Section struct {
	Name string
	Line int
	// Entries are in the order of the text; keys do not repeat.
	Entries []Entry
}

// Entry is one "key = value" line.
type Entry struct {
	Key   string
	Value string
	Line  int
}

// Parse reads INI text. The error is of type Faults.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > MaxSize {
		return nil, Faults{{File: name, Line: 1, Expected: "at most 8 MiB of text"}}
	}
	lines, faults := scanLines(name, string(text))
	if err := faults.Err(); err != nil {
		return nil, err
	}
	opts := ini.LoadOptions{
		IgnoreInlineComment:     true,
		IgnoreContinuation:      true,
		SkipUnrecognizableLines: false,
		UnparseableSections:     nil,
	}
	parsed, err := ini.LoadSources(opts, text)
	if err != nil {
		return nil, Faults{{File: name, Line: 1, Expected: "INI text: " + err.Error()}}
	}
	return assemble(name, parsed, lines)
}

func assemble(name string, parsed *ini.File, lines lineIndex) (*File, error) {
	file := &File{Name: name}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		section := Section{Name: s.Name(), Line: lines.section(s.Name())}
		for _, k := range s.Keys() {
			line := lines.entry(s.Name(), k.Name())
			section.Entries = append(section.Entries, Entry{Key: k.Name(), Value: k.Value(), Line: line})
		}
		file.Sections = append(file.Sections, section)
	}
	return file, nil
}

type place struct{ section, key string }

// lineIndex finds the line of a section (empty key) or of an entry.
type lineIndex map[place]int

func (l lineIndex) section(name string) int { return l[place{section: name}] }

func (l lineIndex) entry(section, key string) int { return l[place{section, key}] }

// scanLines notes where everything stands and refuses what ini.v1 would merge
// in silence: repeated sections and keys, and keys before any section.
func scanLines(name, text string) (lineIndex, Faults) {
	index := lineIndex{}
	var faults Faults
	section := ""
	scanner := bufio.NewScanner(strings.NewReader(text))
	scanner.Buffer(nil, MaxSize+1)
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		at := place{section: section}
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			at = place{section: section}
		} else {
			key, _, found := strings.Cut(line, "=")
			if !found {
				faults = append(faults, Fault{name, n, section, "", `"key = value"`})
				continue
			}
			at.key = strings.TrimSpace(key)
		}
		faults = append(faults, index.note(name, n, at)...)
	}
	return index, faults
}

func (l lineIndex) note(file string, line int, at place) Faults {
	if at.section == "" {
		return Faults{{file, line, "", at.key, "a [section] before the first key"}}
	}
	if _, seen := l[at]; seen {
		return Faults{{file, line, at.section, at.key, "each section and key once"}}
	}
	l[at] = line
	return nil
}
