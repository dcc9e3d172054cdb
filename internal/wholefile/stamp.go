package wholefile

import (
	"os"
	"time"
)

// Stamp is a file's modification time and size. Stamps are comparable.
type Stamp struct {
	// nanoseconds are counted from 1970 on.
	nanoseconds, size int64
}

// StampOf returns the stamp of the file at a path.
func StampOf(path string) (Stamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Stamp{}, err
	}
	return stampOf(info), nil
}

func stampOf(info os.FileInfo) Stamp {
	return Stamp{nanoseconds: info.ModTime().UnixNano(), size: info.Size()}
}

func (s Stamp) changed() time.Time { return time.Unix(0, s.nanoseconds) }
