package claim

// Stats counts what a Table decided.
type Stats struct {
	Started, Joined, Never, Maybe, Full uint64
	// Records is how many are held now.
	Records int
}

// Stats returns the counts.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Records = len(t.records)
	return s
}

func (s *Stats) count(v Verdict) {
	switch v {
	case VerdictStart:
		s.Started++
	case VerdictJoin, VerdictAnswered:
		s.Joined++
	case VerdictNever:
		s.Never++
	case VerdictMaybe, VerdictMismatch:
		s.Maybe++
	}
}
