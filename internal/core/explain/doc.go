// Package explain reconstructs the history of one request from the log files of all processes: what
// each decided and from which inputs, and the concurrent events that affected the request. It reads
// the lines of package eventlog, which may have a prefix of another program.
package explain
