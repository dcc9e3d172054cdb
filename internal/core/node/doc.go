// Package node is what every process of the system has: its settings store,
// its view of the members, its time line, and the calls that peers and
// operators make. Roles add their own parts on top: package entry and package
// agent.
package node

import "time"

// The pace of a node's own work.
const (
	// probesOneIn is how many looks for settings go with one probe of a member:
	// the probe asks for settings too, so it takes the place of a look.
	probesOneIn = 2
	// probeTime bounds one probe.
	probeTime = 500 * time.Millisecond
	// helpers is how many others are asked to probe a member that failed to
	// answer.
	helpers = 3
	// settingsPeriod is how often a node looks for settings.
	settingsPeriod = 500 * time.Millisecond
	// readers is how many of the members read the log at a time.
	readers = 4
	// stale is how long a node that is no reader goes without word of the
	// log's end before it reads the log itself.
	stale = 2 * time.Second
	// pokes is how many peers hear at once of news.
	pokes = 3
	// newsLimit bounds the lines of news in one message.
	newsLimit = 12
	// tellPause is the time between two tries to tell entries that this process leaves.
	tellPause = 100 * time.Millisecond
	// tellTime bounds these: one that does not answer for so long has ended, or is cut off
	// from callers as well.
	tellTime = 15 * time.Second
	// logTime bounds one call of the log.
	logTime = 2 * time.Second
	// lostPeriod is how often a member thought dead is tried again.
	lostPeriod = 10 * time.Second
	// boxesPeriod is how often the platform's list of boxes is read.
	boxesPeriod = time.Second
	// snapshotPeriod is how often the need for a snapshot is looked at.
	snapshotPeriod = 10 * time.Second
)
