package fleet

import (
	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

// changeAddress moves a target to another address in the index.
func (t *Table) changeAddress(x *target, to graniteknot.Address) {
	from := x.replica.Address
	t.unindexAddress(from, x)
	t.indexAddress(to, x)
	t.resolveAddress(from)
}

// indexAddress adds a target to the index by address.
func (t *Table) indexAddress(a graniteknot.Address, x *target) {
	t.addresses[a] = append(t.addresses[a], x)
	if t.addressHashes == nil {
		t.addressHashes = map[uint32]graniteknot.Address{}
	}
	t.addressHashes[presence.TargetHash(a)] = a
}

// unindexAddress removes a target from the index by address.
func (t *Table) unindexAddress(a graniteknot.Address, x *target) {
	t.addresses[a] = without(t.addresses[a], x)
	if len(t.addresses[a]) == 0 {
		delete(t.addresses, a)
		delete(t.addressHashes, presence.TargetHash(a))
	}
}

// resolveAddress marks all replicas registered at an address but the one that wrote
// last as having lost it.
func (t *Table) resolveAddress(a graniteknot.Address) {
	var newest *target
	for _, x := range t.addresses[a] {
		if newest == nil || x.replica.Written > newest.replica.Written {
			newest = x
		}
	}
	for _, x := range t.addresses[a] {
		x.addressTaken = x != newest
	}
	t.markSuperseded(a)
}
