// Package versions shows from the log files of all gateways how each version of the configuration
// was distributed: which gateway read it, when the first and the last one applied it, and which
// gateways are behind at the end of the files. Differences between the clocks of boxes are not
// corrected.
package versions
