// Package losses counts the requests in the log files of all processes that were refused, lost or
// late, by the second of their arrival and by cause. Each request has one cause, so the counts add
// up. Package explain covers single requests.
package losses
