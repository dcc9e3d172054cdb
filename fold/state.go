package fold

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/settings"
)

// maxPending bounds the root changes that wait for consent; the oldest goes.
const maxPending = 16

// State is the fold of a prefix of the settings stream. It is not safe for
// use by several goroutines; the trees that it gives out are.
type State struct {
	trust  *TrustStore
	tree   *settings.Tree
	offset graniteknot.Offset
	// versions holds, for each branch, the offset of its last accepted
	// change. A branch that was never changed has version 0.
	versions map[settings.Branch]graniteknot.Offset
	// pending holds root changes with fewer than all signatures, oldest first.
	pending []*wire.Change
	// live holds the accepted changes that still determine a section.
	live map[graniteknot.Offset]*liveChange
}

// liveChange counts the sections that a change still determines.
type liveChange struct {
	change, consent *wire.Change
	sections        int
}

// NewState returns the fold of the empty log.
func NewState(trust *TrustStore) *State {
	return &State{
		trust:    trust,
		tree:     &settings.Tree{},
		versions: map[settings.Branch]graniteknot.Offset{},
		live:     map[graniteknot.Offset]*liveChange{},
	}
}

// Tree returns the tree in force.
func (s *State) Tree() *settings.Tree { return s.tree }

// Offset returns the offset of the last record folded.
func (s *State) Offset() graniteknot.Offset { return s.offset }

// Digest returns the digest of the tree in force.
func (s *State) Digest() uint64 { return s.tree.Digest() }

// Version returns the offset of a branch's last accepted change.
func (s *State) Version(b settings.Branch) graniteknot.Offset { return s.versions[b] }

// Apply folds the next record. Records already folded are ignored; a record
// that leaves a gap is an error and changes nothing. Any bytes may stand in
// the record.
func (s *State) Apply(r graniteknot.Record) (Verdict, error) {
	if r.Offset <= s.offset {
		return Verdict{Offset: r.Offset}, nil
	}
	if r.Offset != s.offset+1 {
		err := fmt.Errorf("record %d after %d", r.Offset, s.offset)
		return Verdict{}, &Error{Op: "apply", Kind: KindGap, Err: err}
	}
	s.offset = r.Offset
	var record wire.SettingsRecord
	if err := proto.Unmarshal(r.Data, &record); err != nil {
		return refused(r.Offset, nil, KindMalformed, err), nil
	}
	if record.GetChange() == nil {
		return Verdict{Offset: r.Offset}, nil
	}
	return s.decide(r.Offset, record.GetChange()), nil
}

func refused(at graniteknot.Offset, c *wire.Change, kind Kind, err error) Verdict {
	return Verdict{
		Offset: at, ID: c.GetId(), Branch: c.GetBranch(), Signer: c.GetSigner(), Status: StatusRefused,
		Err: &Error{Op: "accept", Kind: kind, Err: err},
	}
}

func (s *State) decide(at graniteknot.Offset, c *wire.Change) Verdict {
	if err := s.trust.verify(c); err != nil {
		return refused(at, c, KindUnverified, err)
	}
	branch := settings.Branch(c.GetBranch())
	current := s.versions[branch]
	if graniteknot.Offset(c.GetAgainst()) != current && !s.trust.NoVersionCheck {
		err := fmt.Errorf("made against version %d of branch %s, in force is %d", c.GetAgainst(), branch, current)
		return refused(at, c, KindConflict, err)
	}
	patch, err := settings.ParsePatch("change "+c.GetId(), branch, []byte(c.GetText()))
	if err != nil {
		return refused(at, c, KindInvalid, err)
	}
	patch.SetOrigin(at)
	tree, err := s.tree.Apply(patch)
	if err != nil {
		return refused(at, c, KindInvalid, err)
	}
	consent, complete := s.consent(c)
	if !complete {
		return Verdict{Offset: at, ID: c.GetId(), Branch: c.GetBranch(), Signer: c.GetSigner(), Status: StatusPending}
	}
	s.accept(at, c, consent, patch, tree)
	return Verdict{Offset: at, ID: c.GetId(), Branch: c.GetBranch(), Signer: c.GetSigner(), Status: StatusAccepted}
}

// consent tells whether all partners have signed, and returns the other's
// signature. A root change that lacks one is remembered.
func (s *State) consent(c *wire.Change) (*wire.Change, bool) {
	if c.GetBranch() != string(settings.Root) || len(s.trust.keys) < 2 {
		return nil, true
	}
	for _, p := range s.pending {
		if agrees(p, c) {
			return p, true
		}
	}
	s.pending = append(s.pending, c)
	if len(s.pending) > maxPending {
		s.pending = s.pending[1:]
	}
	return nil, false
}

func agrees(a, b *wire.Change) bool {
	return a.GetText() == b.GetText() && a.GetAgainst() == b.GetAgainst() && a.GetSigner() != b.GetSigner()
}

func (s *State) accept(at graniteknot.Offset, c, consent *wire.Change, patch *settings.Patch, tree *settings.Tree) {
	for _, section := range patch.Sections {
		s.release(s.tree.Origin(section.ID))
	}
	s.tree = tree
	s.versions[patch.Branch] = at
	if patch.Branch == settings.Root {
		// What was signed against the old version can't be accepted any more.
		s.pending = nil
	}
	s.live[at] = &liveChange{change: c, consent: consent, sections: len(patch.Sections)}
}

// release notes that a section is no longer determined by an older change.
func (s *State) release(at graniteknot.Offset) {
	old, ok := s.live[at]
	if !ok {
		return
	}
	old.sections--
	if old.sections == 0 {
		delete(s.live, at)
	}
}

// errNoConsent marks a snapshot whose root change lacks a signature.
var errNoConsent = errors.New("root change without the other partner's consent")
