package gateway

import (
	graniteknot "graniteknot.org/go"
)

// recordSource says where store records came from: peer is the gateway that passed them on, and
// reader the one that read them from the store. Both are this gateway for its own reads.
type recordSource struct {
	peer, reader graniteknot.BoxName
}

// ownSource is the source of this gateway's own reads.
func (g *Gateway) ownSource() recordSource { return recordSource{g.Config.Box, g.Config.Box} }
