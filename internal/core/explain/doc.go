// Package explain tells the story of one request from the log files of all
// processes: what each decided and on what, and what happened meanwhile to the
// things that the request depended on. It reads what package eventlog writes,
// also behind a prefix of another program.
package explain
