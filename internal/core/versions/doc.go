// Package versions tells, from the log files of all gateways, how each version of the
// configuration came to them: who read it, when the first and the last had it, who was
// the last, and which gateways are behind at the end of the files. Clocks of boxes are
// compared as they are.
package versions
