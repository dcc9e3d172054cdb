package fold

import (
	"fmt"
	"maps"
	"slices"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/settings"
)

// Snapshot returns the state as the signed changes that still determine it,
// so that whoever takes it can check every one of them again.
func (s *State) Snapshot() *wire.Snapshot {
	out := &wire.Snapshot{Offset: int64(s.offset), Digest: s.Digest(), Pending: nil}
	for _, at := range slices.Sorted(maps.Keys(s.live)) {
		l := s.live[at]
		out.Accepted = append(out.Accepted, &wire.Accepted{Offset: int64(at), Change: l.change, Consent: l.consent})
	}
	for _, b := range slices.Sorted(maps.Keys(s.versions)) {
		out.Versions = append(out.Versions, &wire.Version{Branch: string(b), Offset: int64(s.versions[b])})
	}
	for _, p := range s.pending {
		out.Pending = append(out.Pending, &wire.Accepted{Change: p})
	}
	return out
}

// Restore returns the state that a snapshot describes. It proves every change
// in it by its signature, and the whole by the digest that it states.
func Restore(trust *TrustStore, snapshot *wire.Snapshot) (*State, error) {
	s := NewState(trust)
	for _, a := range snapshot.GetAccepted() {
		if err := s.replay(a); err != nil {
			return nil, err
		}
	}
	for _, v := range snapshot.GetVersions() {
		s.versions[settings.Branch(v.GetBranch())] = graniteknot.Offset(v.GetOffset())
	}
	for _, p := range snapshot.GetPending() {
		if err := trust.verify(p.GetChange()); err != nil {
			return nil, &Error{Op: "restore", Kind: KindUnverified, Err: err}
		}
		s.pending = append(s.pending, p.GetChange())
	}
	s.offset = graniteknot.Offset(snapshot.GetOffset())
	if s.Digest() != snapshot.GetDigest() {
		err := fmt.Errorf("digest %x, stated %x", s.Digest(), snapshot.GetDigest())
		return nil, &Error{Op: "restore", Kind: KindDigestMismatch, Err: err}
	}
	return s, nil
}

// replay applies an accepted change without asking for its version, which the
// changes left out of the snapshot have moved.
func (s *State) replay(a *wire.Accepted) error {
	c := a.GetChange()
	if err := s.proveAccepted(a); err != nil {
		return &Error{Op: "restore", Kind: KindUnverified, Err: err}
	}
	patch, err := settings.ParsePatch("change "+c.GetId(), settings.Branch(c.GetBranch()), []byte(c.GetText()))
	if err != nil {
		return &Error{Op: "restore", Kind: KindInvalid, Err: err}
	}
	at := graniteknot.Offset(a.GetOffset())
	patch.SetOrigin(at)
	s.accept(at, c, a.GetConsent(), patch, s.tree.Replay(patch))
	return nil
}

func (s *State) proveAccepted(a *wire.Accepted) error {
	if err := s.trust.verify(a.GetChange()); err != nil {
		return err
	}
	if a.GetChange().GetBranch() != string(settings.Root) || len(s.trust.keys) < 2 {
		return nil
	}
	if !agrees(a.GetChange(), a.GetConsent()) {
		return errNoConsent
	}
	return s.trust.verify(a.GetConsent())
}
