package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/cow"
)

// Tree is one immutable version of the settings. The zero value is the empty
// tree, in which only the schema's defaults are in force.
type Tree struct {
	sections cow.Map[SectionID, *Section]
	// accounts finds the section whose key_sha256 a bearer key has.
	accounts cow.Map[string, *SectionID]
	// digest is the sum of all sections' digests, so that a change costs only
	// what it touches.
	digest uint64
}

func hashText(s string) uint64 { return xxhash.Sum64String(s) }

// Digest tells trees apart; equal trees have equal digests.
func (t *Tree) Digest() uint64 { return t.digest }

// Len returns the number of sections, deleted ones included.
func (t *Tree) Len() int { return t.sections.Len() }

// Apply returns the tree with a patch in force, or says why it can't be.
func (t *Tree) Apply(patch *Patch) (*Tree, error) {
	next := *t
	for _, s := range patch.Sections {
		old, _ := next.sections.Get(SectionID.hash, s.ID)
		if err := checkFixed(old, s); err != nil {
			return nil, err
		}
		if err := next.checkKey(s); err != nil {
			return nil, err
		}
		next.put(s)
	}
	return &next, nil
}

// Replay returns the tree with a patch in force that was accepted before. It
// does not ask again whether the patch agreed with changes that a snapshot
// leaves out because later ones replaced them.
func (t *Tree) Replay(patch *Patch) *Tree {
	next := *t
	for _, s := range patch.Sections {
		next.put(s)
	}
	return &next
}

func (t *Tree) put(s *Section) {
	old, _ := t.sections.Get(SectionID.hash, s.ID)
	t.indexAccount(old, s)
	if old != nil {
		t.digest -= old.digest()
	}
	t.digest += s.digest()
	t.sections = t.sections.Set(SectionID.hash, s.ID, s)
}

// checkFixed keeps fixed keys at their first value, also through a deletion,
// which has to repeat them: so every section stands for itself, and a
// snapshot may leave out the changes before it.
func checkFixed(old, s *Section) error {
	for i := range schema {
		was, had := old.find(schema[i].Key)
		if !schema[i].Fixed || !had {
			continue
		}
		if now, _ := s.find(was.Key); now.Text != was.Text {
			err := fmt.Errorf("%s %s was set to %q and has to be repeated; use a new section name", s.ID, was.Key, was.Text)
			return &Error{Op: "apply", Kind: KindFixed, Err: err}
		}
	}
	return nil
}

// checkKey refuses a bearer key that another account has.
func (t *Tree) checkKey(s *Section) error {
	key, ok := s.find(KeyKeyHash)
	if !ok {
		return nil
	}
	if holder, taken := t.accounts.Get(hashText, key.Text); taken && *holder != s.ID {
		err := fmt.Errorf("%s: the key belongs to another account", s.ID)
		return &Error{Op: "apply", Kind: KindConflict, Err: err}
	}
	return nil
}

func (t *Tree) indexAccount(old, s *Section) {
	was, had := old.find(KeyKeyHash)
	now, has := s.find(KeyKeyHash)
	if had && has && was.Text == now.Text {
		return
	}
	if holder, taken := t.accounts.Get(hashText, was.Text); had && taken && *holder == s.ID {
		t.accounts = t.accounts.Delete(hashText, was.Text)
	}
	if has {
		t.accounts = t.accounts.Set(hashText, now.Text, &s.ID)
	}
}

// Origin returns the offset of the change that last set or deleted a section; 0
// if none did.
func (t *Tree) Origin(id SectionID) graniteknot.Offset {
	s, _ := t.sections.Get(SectionID.hash, id)
	if s == nil {
		return 0
	}
	return s.Origin
}

// section returns a section that is in force.
func (t *Tree) section(id SectionID) *Section {
	s, _ := t.sections.Get(SectionID.hash, id)
	if s == nil || s.Deleted {
		return nil
	}
	return s
}

// lookup finds the value in force for a section and where it comes from.
func (t *Tree) lookup(id SectionID, key Key) (Setting, *SectionID) {
	for _, at := range chain(id) {
		if v, ok := t.section(at).find(key); ok {
			return v, &at
		}
	}
	spec, _ := specOf(key)
	number, _ := spec.parse(spec.Default)
	return Setting{Key: key, Text: spec.Default, Number: number}, nil
}

// chain lists the sections that a section inherits from, itself first.
func chain(id SectionID) []SectionID {
	out := []SectionID{id}
	if id.Level == LevelService || id.Level == LevelAccount {
		out = append(out, SectionID{Branch: id.Branch, Level: LevelPartner})
	}
	if id.Level != LevelRoot {
		out = append(out, SectionID{Branch: Root, Level: LevelRoot})
	}
	return out
}

// Value is one setting in force and its origin.
type Value struct {
	Setting Setting
	// From is the section that sets it; empty for the schema's default.
	From string
}

// Effective returns every value in force for a section.
func (t *Tree) Effective(id SectionID) []Value {
	var out []Value
	for i := range schema {
		if schema[i].Key == KeyDelete || !inherits(&schema[i], id.Level) {
			continue
		}
		setting, from := t.lookup(id, schema[i].Key)
		v := Value{Setting: setting, From: "default"}
		if from != nil {
			v.From = from.String()
		}
		out = append(out, v)
	}
	return out
}

func inherits(spec *Spec, level Level) bool {
	return slices.ContainsFunc(chain(SectionID{Level: level}), func(at SectionID) bool {
		return spec.allowed(at.Level)
	})
}

// Sections returns the sections in force, sorted by branch, level and name.
func (t *Tree) Sections() []*Section {
	var out []*Section
	t.sections.Each(func(_ SectionID, s *Section) {
		if !s.Deleted {
			out = append(out, s)
		}
	})
	slices.SortFunc(out, func(a, b *Section) int { return strings.Compare(a.sortKey(), b.sortKey()) })
	return out
}

func (s *Section) sortKey() string {
	return fmt.Sprintf("%s\x00%d\x00%s", s.ID.Branch, s.ID.Level, s.ID.Name)
}

// Share returns a partner's share of each target in percent.
func (t *Tree) Share(p graniteknot.Partner) int64 {
	id := SectionID{Branch: Root, Level: LevelShare, Name: string(p)}
	setting, _ := t.lookup(id, KeyPercent)
	return setting.Number
}
