package rolloutmodel

import (
	"magpiebank/internal/cluster/consensus"
	"magpiebank/internal/cluster/rollout"
)

// host connects the core of one process to the system. It implements rollout.Host and rollout.MessageSender.
type host struct {
	system *system
	index  int
}

// SendMessage implements rollout.MessageSender.
func (h host) SendMessage(to string, m *rollout.Message) {
	h.system.inFlight = append(h.system.inFlight, envelope{to, h.system.processes[h.index].name, m})
}

// Send implements rollout.Host. Cores never call it, because the host implements rollout.MessageSender.
func (h host) Send(string, []byte) {}

// Peers implements rollout.Host.
func (h host) Peers() (names []string) {
	for i, p := range h.system.processes {
		if i != h.index && p.isGateway {
			names = append(names, p.name)
		}
	}
	return names
}

// CheckPolicy implements rollout.Host. Every gateway can follow every policy.
func (h host) CheckPolicy(_ rollout.Digest, _ []byte, done func(rollout.Parameters, error)) {
	done(rollout.Parameters{}, nil)
}

// SetInForce implements rollout.Host.
func (h host) SetInForce(inForce *rollout.InForce) { h.system.processes[h.index].inForce = *inForce }

// SaveRecords implements rollout.Host. It stores nothing and reports no result: a restarted process starts with the killed core's
// LastPolicyRecord.
func (h host) SaveRecords([]consensus.Record, func(error)) {}

// LoadPolicy implements rollout.Host.
func (h host) LoadPolicy(rollout.Digest) []byte { return nil }

// Drained implements rollout.Host.
func (h host) Drained() bool { return true }

// RequestCounts implements rollout.Host.
func (h host) RequestCounts() rollout.RequestCounts { return rollout.RequestCounts{} }

// UnixSeconds implements rollout.Host.
func (h host) UnixSeconds() int64 { return 0 }

// LogEvent implements rollout.Host.
func (h host) LogEvent(rollout.EventCode, ...any) {}
