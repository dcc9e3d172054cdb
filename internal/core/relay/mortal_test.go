package relay_test

import (
	"context"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/internal/wire"
)

// mortalAgents is the network as seen by an entry that dies: from then on
// nothing of it is sent, and nothing reaches it.
type mortalAgents struct {
	relay.AgentClient
	dies time.Time
}

func (m *mortalAgents) dead() bool { return !time.Now().Before(m.dies) }

// Dispatch implements relay.Agents.
func (m *mortalAgents) Dispatch(ctx context.Context, a graniteknot.Address, d *wire.Dispatch) (relay.ChunkReader, error) {
	if m.dead() {
		return nil, errLost
	}
	ctx, cancel := context.WithDeadline(ctx, m.dies)
	reader, err := m.AgentClient.Dispatch(ctx, a, d)
	if err != nil {
		cancel()
		return nil, err
	}
	return &mortalReader{ChunkReader: reader, cancel: cancel}, nil
}

// Withdraw implements relay.Agents.
func (m *mortalAgents) Withdraw(ctx context.Context, a graniteknot.Address, r *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	if m.dead() {
		return nil, errLost
	}
	ctx, cancel := context.WithDeadline(ctx, m.dies)
	defer cancel()
	return m.AgentClient.Withdraw(ctx, a, r)
}

// Report implements relay.Agents.
func (m *mortalAgents) Report(ctx context.Context, a graniteknot.Address) (*wire.Load, error) {
	if m.dead() {
		return nil, errLost
	}
	return m.AgentClient.Report(ctx, a)
}

// mortalReader is a stream that the entry's death ends.
type mortalReader struct {
	relay.ChunkReader
	cancel context.CancelFunc
}

// Close implements relay.ChunkReader.
func (m *mortalReader) Close() {
	m.cancel()
	m.ChunkReader.Close()
}
