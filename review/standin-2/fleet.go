//go:build review

package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os/exec"
	"strings"
	"sync"
)

// Quimper is the classes of quimper-index, a site that allows messages between gateways: names, effects, aims, deadlines, worth and threads of
// its brief and site file.
var Quimper = []ClassSetting{
	{Name: "lookup", Aim: 1200, Deadline: 6000, Worth: 1, Effect: "read_like", Threads: 1},
	{Name: "report", Aim: 3000, Deadline: 25000, Worth: 7.5, Effect: "read_like", Threads: 3},
	{Name: "load", Aim: 3000, Deadline: 20000, Worth: 12, Effect: "idempotency_key", Group: "all", Window: 12000, Threads: 2, Loads: true},
}

// Scaled returns classes whose aims and deadlines are divided. The service page says of sockets: "Work, aims and deadlines scale to match."
func Scaled(classes []ClassSetting, divisor int) (scaled []ClassSetting) {
	for _, c := range classes {
		c.Aim, c.Deadline, c.Window = c.Aim/divisor, c.Deadline/divisor, c.Window/divisor
		scaled = append(scaled, c)
	}
	return scaled
}

// Fleet is what the operator's files of a fleet have in common.
type Fleet struct {
	Seeds   []string
	KeyFile string
	Policy  map[string]any // fleet.policy but for the folder; nil: none
	Budgets map[string]any // fleet.budgets but for the folder; nil: none
}

// Member is what one process of a fleet has of its own.
type Member struct {
	Address string // for datagrams
	Relay   *Relay // by which the others reach it; nil: directly
	Control string // path of the control socket
	File    string // path of the operator's file
	label   string
}

// NewFleet writes the key of a fleet.
func (l *Lab) NewFleet() (*Fleet, error) {
	path, err := l.WriteFile("fleet.key", strings.Repeat("5a", 32)+"\n")
	return &Fleet{KeyFile: path}, err
}

// NewMember chooses the addresses of one process.
func (l *Lab) NewMember(label string) (*Member, error) {
	address, err := FreeAddress()
	return &Member{Address: address, Control: l.path(label + ".sock"), File: l.path(label + ".jsonnet"), label: label}, err
}

// WriteOperatorFile writes a member's operator's file. statements is its field of that name; nil: it has none.
func (l *Lab) WriteOperatorFile(f *Fleet, m *Member, statements map[string]any) error {
	fleet := map[string]any{"listen": m.Address, "seeds": f.Seeds, "key": f.KeyFile, "control": m.Control}
	if m.Relay != nil {
		fleet["advertise"] = m.Relay.Address
	}
	add := func(field string, settings map[string]any, folder string) {
		if settings == nil {
			return
		}
		own := map[string]any{"folder": l.path(m.label + folder)}
		for key, value := range settings {
			own[key] = value
		}
		fleet[field] = own
	}
	add("policy", f.Policy, ".policy")
	add("budgets", f.Budgets, ".seat")
	file := map[string]any{"fleet": fleet}
	if statements != nil {
		file["statements"] = statements
	}
	_, err := l.WriteFile(m.label+".jsonnet", file)
	return err
}

// PolicyStatus is what "policy status --json" tells, as far as the cases need it.
type PolicyStatus struct {
	Number  uint64   `json:"number"`
	Decided uint64   `json:"decided"`
	Offered string   `json:"offered"`
	Voters  []string `json:"voters"`
	Lease   float64  `json:"lease"`
	Ready   bool     `json:"ready"`
}

// PolicyStatus asks a member for its policy.
func (l *Lab) PolicyStatus(m *Member) (*PolicyStatus, error) {
	out, err := exec.CommandContext(l.Context, "bin/magpiebank", "policy", "status", "--json", "--control", m.Control).Output()
	if err != nil {
		return nil, fmt.Errorf("policy status: %w", err)
	}
	status := &PolicyStatus{}
	return status, json.Unmarshal(out, status)
}

// Relay is a stand-in of the network on the way to one member: it listens at the address that the member advertises, and passes
// datagrams on to the member. Cut drops those of one sender.
type Relay struct {
	Address string
	socket  *net.UDPConn
	mu      sync.Mutex
	cut     string // address of the sender whose datagrams are dropped; empty: none
}

// StartRelay starts a relay to a member's address.
func (l *Lab) StartRelay(to string) (*Relay, error) {
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: socket.LocalAddr().String(), socket: socket}
	l.atEnd(func() { socket.Close() })
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, from, err := socket.ReadFromUDP(buffer)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil && !r.drops(from.String()) {
				_, _ = socket.WriteToUDP(buffer[:n], target) // a member that is down receives nothing
			}
		}
	}()
	return r, nil
}

func (r *Relay) drops(from string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut == from
}

// Cut has the relay drop the datagrams of a sender from now on; an empty address ends that.
func (r *Relay) Cut(from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = from
}
