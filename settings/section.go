package settings

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
)

// Branch is the part of the tree that one change is made to: Root, or the
// name of a partner.
type Branch string

// Root is the branch that needs the consent of all partners.
const Root Branch = "root"

// Partner returns the partner whose branch it is.
func (b Branch) Partner() graniteknot.Partner { return graniteknot.Partner(b) }

// Level is the kind of a section.
type Level uint8

// The levels, from the root of the tree to its leaves.
const (
	LevelRoot Level = iota
	LevelShare
	LevelPartner
	LevelService
	LevelAccount
	LevelZone
)

var levelWords = [...]string{"root", "share", "partner", "service", "account", "zone"}

// String returns the word that starts a section's name.
func (l Level) String() string { return levelWords[l] }

// named tells whether sections of the level carry a name.
func (l Level) named() bool { return l != LevelRoot && l != LevelPartner }

// branchLevel tells whether the level belongs to the root branch.
func (l Level) inRoot() bool { return l == LevelRoot || l == LevelShare }

// SectionID names a section in the whole tree.
type SectionID struct {
	Branch Branch
	Level  Level
	// Name is empty for LevelRoot and LevelPartner.
	Name string
}

// String writes the id as "branch/[level name]".
func (s SectionID) String() string {
	if s.Name == "" {
		return fmt.Sprintf("%s/[%s]", s.Branch, s.Level)
	}
	return fmt.Sprintf("%s/[%s %s]", s.Branch, s.Level, s.Name)
}

func (s SectionID) hash() uint64 {
	return xxhash.Sum64String(s.Name) ^ uint64(s.Level)<<56 ^ xxhash.Sum64String(string(s.Branch))
}

// Setting is one value that a section sets.
type Setting struct {
	Key Key
	// Text is the value as written, trimmed.
	Text string
	// Number is the parsed value of numeric kinds: counts and percentages as
	// they stand, durations in nanoseconds, booleans as 0 and 1.
	Number int64
}

// Section is what one section of the tree sets. It is immutable.
type Section struct {
	ID SectionID
	// Deleted sections set nothing. They are kept so that an older change
	// that is folded again can't bring the section back.
	Deleted bool
	// Settings are in the order of the schema.
	Settings []Setting
	// Origin is the offset of the change that set the section. It is no part
	// of the digest.
	Origin graniteknot.Offset
}

func (s *Section) find(key Key) (Setting, bool) {
	if s == nil {
		return Setting{}, false
	}
	for _, v := range s.Settings {
		if v.Key == key {
			return v, true
		}
	}
	return Setting{}, false
}

// digest is the section's part of the tree's digest.
func (s *Section) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	write := func(text string) {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	write(s.ID.String())
	if s.Deleted {
		write("deleted")
	}
	for _, v := range s.Settings {
		write(string(v.Key))
		write(v.Text)
	}
	return d.Sum64()
}

// parseSectionName reads "service wire" and the like for a branch.
func parseSectionName(branch Branch, name string) (SectionID, bool) {
	word, rest, _ := strings.Cut(name, " ")
	rest = strings.TrimSpace(rest)
	for i, w := range levelWords {
		level := Level(i)
		if w != word || level.named() != (rest != "") {
			continue
		}
		return SectionID{Branch: branch, Level: level, Name: strings.Clone(rest)}, validName(rest)
	}
	return SectionID{}, false
}

// validName accepts what can stand in a URL path without quoting.
func validName(s string) bool {
	const others = "-_."
	for _, r := range s {
		plain := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !plain && !strings.ContainsRune(others, r) {
			return false
		}
	}
	return len(s) <= 64
}

// ParseSectionID reads "BRANCH/LEVEL" or "BRANCH/LEVEL/NAME".
func ParseSectionID(text string) (SectionID, error) {
	branch, rest, _ := strings.Cut(text, "/")
	id, ok := parseSectionName(Branch(branch), strings.Replace(rest, "/", " ", 1))
	if !ok || id.Level.inRoot() != (id.Branch == Root) {
		err := fmt.Errorf("expected BRANCH/LEVEL or BRANCH/LEVEL/NAME, got %q", text)
		return SectionID{}, &Error{Op: "parse section", Kind: KindMalformed, Err: err}
	}
	return id, nil
}
