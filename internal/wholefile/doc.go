// Package wholefile reads files that others may be writing. The end of a file proves nothing: a
// text that is cut behind a line is a valid shorter one. So a text counts only if nobody has written
// the file for a while. A writer that pauses for longer than that isn't noticed; one that replaces
// the file by renaming another never shows a part of it.
package wholefile
