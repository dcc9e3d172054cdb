package presence

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
)

// A process fetches records of the store from another process, in parts that fit into
// datagrams, with a digest of the whole set.
const (
	// partSize is the number of bytes of packed records in one reply.
	partSize = 1000
	// maxPackedBytes and maxUnpackedBytes bound what is accepted from another process: room
	// for some ten thousand routes, compressed and not.
	maxPackedBytes   = 4 << 20
	maxUnpackedBytes = 32 << 20
	// concurrentParts is the number of parts that are fetched at the same time.
	concurrentParts = 8
	// partAttempts is how often a part is queried, since datagrams may be lost, and
	// partTimeout bounds each query.
	partAttempts = 3
	partTimeout  = 120 * time.Millisecond
)

// ErrMalformed is a query or a reply that can't be decoded, or whose part does
// not fit the others.
var ErrMalformed = errors.New("malformed answer")

// PackedRecords is a set of records, encoded and compressed for other processes.
type PackedRecords []byte

// PackRecords encodes and compresses records.
func PackRecords(list []graniteknot.KeyedRecord) (PackedRecords, error) {
	plain, err := cbor.Marshal(list)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unpack(packed []byte) ([]graniteknot.KeyedRecord, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil {
		return nil, err
	}
	var list []graniteknot.KeyedRecord
	return list, cbor.Unmarshal(plain, &list)
}

// part is a reply: the digest and length of the whole, and some bytes of it.
type part struct {
	Digest uint64 `cbor:"1,keyasint"`
	Total  int    `cbor:"2,keyasint"`
	Bytes  []byte `cbor:"3,keyasint"`
}

// encodePart returns the reply for the part at an offset; digest is that of the whole.
func (p PackedRecords) encodePart(offset, digest uint64) ([]byte, error) {
	if offset > uint64(len(p)) {
		return nil, ErrMalformed
	}
	end := min(int(offset)+partSize, len(p))
	return cbor.Marshal(part{Digest: digest, Total: len(p), Bytes: p[offset:end]})
}

// Fetch fetches all records of a kind from the process at an address.
func (s *Socket) Fetch(ctx context.Context, from graniteknot.Address, kind QueryKind) ([]graniteknot.KeyedRecord, error) {
	first, err := s.fetchPart(ctx, from, kind, encodePartQuery(0, 0))
	if err != nil {
		return nil, err
	}
	whole := make([]byte, first.Total)
	copied := copy(whole, first.Bytes)
	if copied < first.Total {
		if err := s.fetchRest(ctx, from, kind, first, whole); err != nil {
			return nil, err
		}
	}
	if xxhash.Sum64(whole) != first.Digest {
		return nil, ErrMalformed
	}
	return unpack(whole)
}

// fetchRest fetches all parts but the first, several at a time.
func (s *Socket) fetchRest(ctx context.Context, from graniteknot.Address, kind QueryKind, first *part, whole []byte) error {
	if len(first.Bytes) == 0 {
		return ErrMalformed
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var next atomic.Int64
	next.Store(int64(len(first.Bytes)))
	var fetchers group.Group
	for range concurrentParts {
		fetchers.Go(func(context.Context) {
			for ctx.Err() == nil {
				offset := int(next.Add(partSize)) - partSize
				if offset >= len(whole) {
					return
				}
				if err := s.fetchInto(ctx, from, kind, first, whole, offset); err != nil {
					cancel(err)
				}
			}
		})
	}
	fetchers.Wait()
	return context.Cause(ctx)
}

// fetchInto fetches the part at an offset and copies it into the whole.
func (s *Socket) fetchInto(ctx context.Context, from graniteknot.Address, kind QueryKind, first *part, whole []byte, offset int) error {
	next, err := s.fetchPart(ctx, from, kind, encodePartQuery(offset, first.Digest))
	if err != nil {
		return err
	}
	if next.Digest != first.Digest || next.Total != first.Total || len(next.Bytes) != min(partSize, len(whole)-offset) {
		return ErrMalformed
	}
	copy(whole[offset:], next.Bytes)
	return nil
}

// fetchPart queries for one part, up to partAttempts times.
func (s *Socket) fetchPart(ctx context.Context, from graniteknot.Address, kind QueryKind, query []byte) (*part, error) {
	var lastErr error
	for range partAttempts {
		queryCtx, cancel := context.WithTimeout(ctx, partTimeout)
		body, err := s.Ask(queryCtx, from, kind, query)
		cancel()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			lastErr = err
			continue
		}
		out := &part{}
		if err := cbor.Unmarshal(body, out); err != nil {
			return nil, err
		}
		if out.Total < 0 || out.Total > maxPackedBytes || len(out.Bytes) > partSize {
			return nil, ErrMalformed
		}
		return out, nil
	}
	return nil, lastErr
}
