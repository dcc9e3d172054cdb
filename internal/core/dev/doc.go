// Package dev runs entries, agents and the stand-ins in one process on
// loopback, for trying and testing: both partners of the brief, in small
// numbers and the same shape. Nothing is started from it but goroutines.
package dev

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// The two partners.
const (
	Herbarium      graniteknot.Partner = "herbarium"
	Communications graniteknot.Partner = "communications"
)

// The services.
const (
	LabelReading graniteknot.Service = "label-reading"
	Catalogue    graniteknot.Service = "catalogue"
	Drafting     graniteknot.Service = "drafting"
	Wire         graniteknot.Service = "wire"
)

// The shape of the cluster.
const (
	zonesEach    = 3
	entriesEach  = 6
	modelTargets = 6
	plainTargets = 3
	accountsEach = 10
	addressValid = 2 * time.Second
	stopBound    = 30 * time.Second
	boxLag       = time.Second
	engineStep   = 2 * time.Millisecond
)
