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

// A process takes records that the store gave from another process, in parts that fit
// into datagrams, with a digest of the whole.
const (
	// partSize is how many bytes one answer holds of the records.
	partSize = 1000
	// mostPacked and mostUnpacked bound what is taken from another process: some ten
	// thousand routes packed, and what they unpack to.
	mostPacked   = 4 << 20
	mostUnpacked = 32 << 20
	// partsAtATime is how many parts are asked for at a time.
	partsAtATime = 8
	// partTries is how often a part is asked for, since datagrams may be lost, and
	// partTime bounds each question.
	partTries = 3
	partTime  = 120 * time.Millisecond
)

// ErrMalformed is an answer that can't be read.
var ErrMalformed = errors.New("malformed answer")

// PackedRecords is records ready to be taken by others.
type PackedRecords []byte

// PackRecords packs records.
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
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostUnpacked))
	if err != nil {
		return nil, err
	}
	var list []graniteknot.KeyedRecord
	return list, cbor.Unmarshal(plain, &list)
}

// part is an answer: the digest and length of the whole, and some bytes of it.
type part struct {
	Digest uint64 `cbor:"1,keyasint"`
	Total  int    `cbor:"2,keyasint"`
	Bytes  []byte `cbor:"3,keyasint"`
}

// part answers a question for the part at an offset of a pack with a digest.
func (p PackedRecords) part(offset, digest uint64) ([]byte, error) {
	if offset > uint64(len(p)) {
		return nil, ErrMalformed
	}
	end := min(int(offset)+partSize, len(p))
	return cbor.Marshal(part{Digest: digest, Total: len(p), Bytes: p[offset:end]})
}

// Fetch takes all records of a kind from the process at an address.
func (s *Socket) Fetch(ctx context.Context, from graniteknot.Address, kind QueryKind) ([]graniteknot.KeyedRecord, error) {
	first, err := s.fetchPart(ctx, from, kind, question(0, 0))
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

// fetchRest takes all parts but the first, several at a time.
func (s *Socket) fetchRest(ctx context.Context, from graniteknot.Address, kind QueryKind, first *part, whole []byte) error {
	if len(first.Bytes) == 0 {
		return ErrMalformed
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var next atomic.Int64
	next.Store(int64(len(first.Bytes)))
	var takers group.Group
	for range partsAtATime {
		takers.Go(func(context.Context) {
			for ctx.Err() == nil {
				at := int(next.Add(partSize)) - partSize
				if at >= len(whole) {
					return
				}
				if err := s.fetchInto(ctx, from, kind, first, whole, at); err != nil {
					cancel(err)
				}
			}
		})
	}
	takers.Wait()
	return context.Cause(ctx)
}

// fetchInto takes the part at a place of the whole.
func (s *Socket) fetchInto(ctx context.Context, from graniteknot.Address, kind QueryKind, first *part, whole []byte, at int) error {
	one, err := s.fetchPart(ctx, from, kind, question(at, first.Digest))
	if err != nil {
		return err
	}
	if one.Digest != first.Digest || one.Total != first.Total || len(one.Bytes) != min(partSize, len(whole)-at) {
		return ErrMalformed
	}
	copy(whole[at:], one.Bytes)
	return nil
}

func (s *Socket) fetchPart(ctx context.Context, from graniteknot.Address, kind QueryKind, question []byte) (*part, error) {
	var last error
	for range partTries {
		short, cancel := context.WithTimeout(ctx, partTime)
		body, err := s.Ask(short, from, kind, question)
		cancel()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			last = err
			continue
		}
		out := &part{}
		if err := cbor.Unmarshal(body, out); err != nil {
			return nil, err
		}
		if out.Total < 0 || out.Total > mostPacked || len(out.Bytes) > partSize {
			return nil, ErrMalformed
		}
		return out, nil
	}
	return nil, last
}
