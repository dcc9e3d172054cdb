// Package mutation shows that rules are needed, and that tests notice when one is gone: it
// builds a package with one place of one file changed, runs a test there, and expects it to
// fail. The change is laid over the source as the compiler reads it, so that production code
// has no switches for tests. It needs the go command, and serves tests only.
package mutation
