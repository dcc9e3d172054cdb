package gateway

import (
	graniteknot "graniteknot.org/go"
)

// recordSource tells from whom something known of the store is: by is the gateway that told it,
// and reader the one whose read of the store showed it. Both are this gateway where it has
// read itself.
type recordSource struct {
	peer, reader graniteknot.BoxName
}

// ownSource is the source of what this gateway reads itself.
func (g *Gateway) ownSource() recordSource { return recordSource{g.Config.Box, g.Config.Box} }
