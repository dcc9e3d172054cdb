package gateway

import (
	graniteknot "graniteknot.org/go"
)

// source tells from whom something known of the store is: by is the gateway that told it,
// and reader the one whose read of the store showed it. Both are this gateway where it has
// read itself.
type source struct {
	by, reader graniteknot.BoxName
}

// ownRead is the source of what this gateway reads itself.
func (g *Gateway) ownRead() source { return source{g.Config.Box, g.Config.Box} }
