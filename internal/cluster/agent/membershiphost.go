package agent

import (
	"context"
	"log/slog"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/membership"
)

// membershipHost implements membership.Host.
type membershipHost struct{ agent *Agent }

// Send sends a message of the core to an address.
func (h membershipHost) Send(to string, message []byte) {
	h.agent.transport.send(to, membershipSection, message)
}

// MemberChanged writes a change of a member's state to the history and the log.
func (h membershipHost) MemberChanged(code membership.EventCode, m membership.Member) {
	a := h.agent
	if a.counters.core != nil && m.State == membership.Left {
		a.counters.core.MarkStopped(m.Name, m.Incarnation)
	}
	a.history.Write(history.Event{Kind: history.MemberChanged, Code: string(code), Member: m.Name, Detail: m.Incarnation, State: m.State.String()})
	level := slog.LevelInfo
	if code == membership.Partitioned || code == membership.Superseded {
		level = slog.LevelWarn
	}
	lost := 0
	if a.members != nil { // nil until membership.New has returned
		lost = a.members.CountDead()
	}
	a.log.Log(context.Background(), level, "fleet", "code", string(code), "member", m.Name, "start", m.Incarnation, "address", m.Address, "lost", lost)
}
