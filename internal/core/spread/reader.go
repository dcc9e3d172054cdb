package spread

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/wire"
)

// readLimit is how many records one read of the log asks for.
const readLimit = 256

// Reader follows the log for a store.
type Reader struct {
	Log   graniteknot.Log
	Store *Store
}

// Read reads everything new. When the store's position was trimmed it goes on
// from the newest proved snapshot in the log.
func (r *Reader) Read(ctx context.Context, now func() time.Time) error {
	for {
		from := r.Store.Position().Offset + 1
		asked := now()
		page, err := r.Log.Read(ctx, graniteknot.SettingsStream, from, readLimit)
		if err != nil {
			return &Error{Op: "read", Kind: KindLog, Err: err}
		}
		if page.First > from {
			if err := r.recover(ctx, page.First); err != nil {
				return err
			}
			continue
		}
		r.Store.Fold(page.Records)
		if r.Store.Position().Offset+1 >= page.Next {
			r.Store.confirm(page.Next-1, asked)
			return nil
		}
		if r.Store.Position().Offset < from {
			return shortPage("read", from, page.Next)
		}
	}
}

// recover goes on from the newest snapshot that is proved and joins up with
// what is kept.
func (r *Reader) recover(ctx context.Context, first graniteknot.Offset) error {
	var found []*wire.Snapshot
	for from := first; ; {
		page, err := r.Log.Read(ctx, graniteknot.SettingsStream, from, readLimit)
		if err != nil {
			return &Error{Op: "recover", Kind: KindLog, Err: err}
		}
		for _, rec := range page.Records {
			if s := snapshotIn(rec, first); s != nil {
				found = append(found, s)
			}
			from = rec.Offset + 1
		}
		if from >= page.Next {
			break
		}
		if len(page.Records) == 0 {
			return shortPage("recover", from, page.Next)
		}
	}
	return r.adoptNewest(found, first)
}

// shortPage returns the error for a page without the records up to the end that it names.
func shortPage(op string, from, next graniteknot.Offset) error {
	return &Error{Op: op, Kind: KindLog, Err: fmt.Errorf("no record %d in a log that ends at %d", from, next)}
}

func (r *Reader) adoptNewest(found []*wire.Snapshot, first graniteknot.Offset) error {
	slices.SortStableFunc(found, func(a, b *wire.Snapshot) int { return cmp.Compare(b.GetOffset(), a.GetOffset()) })
	err := fmt.Errorf("the log begins at %d", first)
	for _, s := range found {
		if err = r.Store.Adopt(s); err == nil {
			return nil
		}
	}
	return &Error{Op: "recover", Kind: KindLost, Err: err}
}

// snapshotIn returns a record's snapshot if every record after it is kept.
func snapshotIn(rec graniteknot.Record, first graniteknot.Offset) *wire.Snapshot {
	var record wire.SettingsRecord
	if err := proto.Unmarshal(rec.Data, &record); err != nil {
		return nil
	}
	s := record.GetSnapshot()
	if s == nil || graniteknot.Offset(s.GetOffset())+1 < first || graniteknot.Offset(s.GetOffset()) >= rec.Offset {
		return nil
	}
	return s
}

// Snapshotter writes snapshots before the records that they replace expire.
// Any number of processes may do it: a doubled snapshot changes nothing.
type Snapshotter struct {
	Log   graniteknot.Log
	Store *Store
	// Every is how many records may stand after the newest snapshot.
	Every int64

	// seen is the offset of the newest snapshot known to be in the log.
	seen graniteknot.Offset
}

// Run writes a snapshot if the newest is too old. It reads the log's tail
// first, so that the usual case of several writers writes one.
func (w *Snapshotter) Run(ctx context.Context) (bool, error) {
	p := w.Store.Position()
	if int64(p.Offset-w.seen) < w.Every {
		return false, nil
	}
	w.look(ctx, p.Offset)
	if int64(p.Offset-w.seen) < w.Every {
		return false, nil
	}
	snapshot := w.Store.Snapshot()
	data, err := proto.Marshal(&wire.SettingsRecord{Body: &wire.SettingsRecord_Snapshot{Snapshot: snapshot}})
	if err != nil {
		return false, &Error{Op: "snapshot", Kind: KindBad, Err: err}
	}
	if _, err := w.Log.Append(ctx, graniteknot.SettingsStream, data); err != nil {
		return false, &Error{Op: "snapshot", Kind: KindLog, Err: err}
	}
	w.seen = graniteknot.Offset(snapshot.GetOffset())
	return true, nil
}

// look finds the newest snapshot among the last records.
func (w *Snapshotter) look(ctx context.Context, end graniteknot.Offset) {
	from := max(1, end-graniteknot.Offset(w.Every))
	for {
		page, err := w.Log.Read(ctx, graniteknot.SettingsStream, from, readLimit)
		if err != nil || len(page.Records) == 0 {
			return
		}
		for _, rec := range page.Records {
			if s := snapshotIn(rec, 0); s != nil {
				w.seen = max(w.seen, graniteknot.Offset(s.GetOffset()))
			}
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
}
