package wholefile

// Watch follows a file that others write. Create it with NewWatch. It may be used by one goroutine
// at a time.
type Watch struct {
	path string
	// taken is the stamp of the text that Look returned last, or of the file when the watch began.
	taken Stamp
	// last is what the look before found; nil before the first look at a change.
	last *Copy
}

// NewWatch returns a watch of a file that tells of changes from now on.
func NewWatch(path string) (*Watch, error) {
	stamp, err := StampOf(path)
	return &Watch{path: path, taken: stamp}, err
}

// Changed reports whether the file's time or size is another than that of the text taken last.
func (w *Watch) Changed() (bool, error) {
	stamp, err := StampOf(w.path)
	return err == nil && stamp != w.taken, err
}

// Look reads the file. It returns its text, and true, if the look before found the same; until then
// it is to be called again after Interval. An error starts over.
func (w *Watch) Look() ([]byte, bool, error) {
	found, err := Take(w.path)
	if err != nil {
		w.last = nil
		return nil, false, err
	}
	if w.last == nil || !found.Equal(w.last) {
		w.last = found
		return nil, false, nil
	}
	w.taken, w.last = found.Stamp(), nil
	return found.Text, true, nil
}
