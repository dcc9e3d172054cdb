package settings

import (
	"slices"
	"strings"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/inifile"
)

// Patch is the checked text of one change. Each section it holds replaces the
// section of the same id as a whole.
type Patch struct {
	Branch Branch
	// Sections are not empty and do not repeat an id.
	Sections []*Section
}

// SetOrigin notes the offset of the change in every section, before the patch
// is applied.
func (p *Patch) SetOrigin(at graniteknot.Offset) {
	for _, s := range p.Sections {
		s.Origin = at
	}
}

// ParsePatch checks INI text for a branch. All faults are reported at once,
// in an error of kind KindMalformed.
func ParsePatch(file string, branch Branch, text []byte) (*Patch, error) {
	parsed, err := inifile.Parse(file, text)
	if err != nil {
		return nil, &Error{Op: "check", Kind: KindMalformed, Err: err}
	}
	patch := &Patch{Branch: branch}
	var faults inifile.Faults
	for _, s := range parsed.Sections {
		section, wrong := checkSection(file, branch, s)
		faults = append(faults, wrong...)
		patch.Sections = append(patch.Sections, section)
	}
	if len(parsed.Sections) == 0 {
		faults = append(faults, inifile.Fault{File: file, Line: 1, Expected: "at least one [section]"})
	}
	if err := faults.Err(); err != nil {
		return nil, &Error{Op: "check", Kind: KindMalformed, Err: err}
	}
	return patch, nil
}

func checkSection(file string, branch Branch, s inifile.Section) (*Section, inifile.Faults) {
	id, ok := parseSectionName(branch, s.Name)
	if !ok {
		return nil, inifile.Faults{{
			File: file, Line: s.Line, Section: s.Name,
			Expected: "[root], [share PARTNER], [partner], [service NAME], [account NAME] or [zone NAME]",
		}}
	}
	if id.Level.inRoot() != (branch == Root) {
		return nil, inifile.Faults{{
			File: file, Line: s.Line, Section: s.Name,
			Expected: "a section of branch " + string(branch),
		}}
	}
	section := &Section{ID: id}
	var faults inifile.Faults
	for _, e := range s.Entries {
		setting, expected := checkEntry(id.Level, e)
		if expected != "" {
			faults = append(faults, inifile.Fault{
				File: file, Line: e.Line, Section: s.Name, Key: e.Key, Expected: expected,
			})
			continue
		}
		if setting.Key == KeyDelete {
			section.Deleted = setting.Number == 1
			continue
		}
		section.Settings = append(section.Settings, setting)
	}
	if section.Deleted && slices.ContainsFunc(section.Settings, notFixed) {
		faults = append(faults, inifile.Fault{
			File: file, Line: s.Line, Section: s.Name, Key: string(KeyDelete),
			Expected: "no key beside it but those that can't change",
		})
	}
	section.sort()
	return section, faults
}

func notFixed(s Setting) bool {
	spec, _ := specOf(s.Key)
	return !spec.Fixed
}

func checkEntry(level Level, e inifile.Entry) (Setting, string) {
	spec, _ := specOf(Key(e.Key))
	if spec == nil {
		return Setting{}, "a known key"
	}
	if !spec.allowed(level) {
		return Setting{}, "this key at another level than [" + level.String() + "]"
	}
	number, expected := spec.parse(e.Value)
	// A clone, so that a value does not keep the whole text of its change.
	return Setting{Key: spec.Key, Text: strings.Clone(e.Value), Number: number}, expected
}

func (s *Section) sort() {
	slices.SortFunc(s.Settings, func(a, b Setting) int {
		_, i := specOf(a.Key)
		_, j := specOf(b.Key)
		return i - j
	})
}
