package returns

import "encoding/binary"

// reader reads numbers from the start of encoded bytes. After a failure all numbers are 0.
type reader struct {
	rest   []byte
	failed bool
}

// uvarint reads a number of at most limit.
func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if r.failed || n <= 0 || v > limit {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) uint32() uint32 {
	const size = 4
	if r.failed || len(r.rest) < size {
		r.failed = true
		return 0
	}
	v := binary.BigEndian.Uint32(r.rest)
	r.rest = r.rest[size:]
	return v
}

func (r *reader) uint64() uint64 {
	const size = 8
	if r.failed || len(r.rest) < size {
		r.failed = true
		return 0
	}
	v := binary.BigEndian.Uint64(r.rest)
	r.rest = r.rest[size:]
	return v
}
