// Package procconf reads the settings of one process: who and where it is, how
// it reaches the platform, whose signatures it trusts. They come from an INI
// file on the box and do not change while the process lives. What operators
// change while it runs is left to package settings.
package procconf
