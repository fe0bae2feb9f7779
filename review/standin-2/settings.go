//go:build review

package lab

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
)

// ClassSetting is a class in the settings. Times are in milliseconds.
type ClassSetting struct {
	Name          string
	Aim, Deadline int
	Worth         float64
	Effect        string // read_like, idempotency_key or non_idempotent
	Group         string // of idempotency_key: all, zone or cell
	Window        int    // of idempotency_key
	Threads       int
	Loads         bool
}

// Campus is the classes of campus-mixco: names, effects, aims, deadlines, worth and threads of its site file.
var Campus = []ClassSetting{
	{Name: "consulta-corta", Aim: 1000, Deadline: 5000, Worth: 1, Effect: "read_like", Threads: 1},
	{Name: "reporte-largo", Aim: 3000, Deadline: 20000, Worth: 10, Effect: "read_like", Threads: 4},
	{Name: "carga-actas", Aim: 4000, Deadline: 20000, Worth: 10, Effect: "non_idempotent", Threads: 2, Loads: true},
}

// Suva is the classes of suva-campus: names, effects, aims, deadlines, worth and threads of its brief and site file.
var Suva = []ClassSetting{
	{Name: "lookup", Aim: 600, Deadline: 3000, Worth: 1, Effect: "read_like", Threads: 1},
	{Name: "report", Aim: 1500, Deadline: 20000, Worth: 12, Effect: "read_like", Threads: 4},
	{Name: "load", Aim: 4000, Deadline: 25000, Worth: 12, Effect: "non_idempotent", Threads: 2, Loads: true},
}

// Deployment is what the gateways of a case have in common.
type Deployment struct {
	Classes  []ClassSetting
	Gateways int
	Zones    []string
	Peers    bool // the site allows messages between gateways
	Grace    int  // milliseconds after which nothing goes to an engine that drains; 0: 2000
	List     *Coordinator
}

// Publish starts the coordinator with a list of engines.
func (l *Lab) Publish(d *Deployment, engines ...*Engine) (err error) {
	var list []Entry
	for _, e := range engines {
		list = append(list, e.entry("Ready"))
	}
	d.List, err = l.StartCoordinator(list)
	return err
}

func (e *Engine) entry(state string) Entry {
	return Entry{ID: e.ID, Address: e.Address, Zone: e.Zone, Kind: "std-8", Cell: e.Cell, State: state, Weight: 8}
}

// PublishState publishes another state of an engine, and returns the event's index.
func (d *Deployment) PublishState(e *Engine, state string) (index int) {
	return d.List.Publish(e.entry(state))
}

// Config returns the configuration of the gateway with the given number.
func (d *Deployment) Config(number int) map[string]any {
	grace := d.Grace
	if grace == 0 {
		grace = 2000
	}
	var classes, threads, loads, waits []any
	for _, c := range d.Classes {
		class := map[string]any{"name": c.Name, "sloUs": c.Aim * 1000, "deadlineUs": c.Deadline * 1000, "worth": c.Worth, "lateWorth": 0.4,
			"effect": c.Effect, "aimStretch": 3, "stream": false}
		if c.Group != "" {
			class["group"], class["windowUs"] = c.Group, c.Window*1000
		}
		classes, threads, loads, waits = append(classes, class), append(threads, c.Threads), append(loads, c.Loads), append(waits, false)
	}
	return map[string]any{
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"coordinator": d.List.Address,
		"known":       func() json.RawMessage { return d.List.Snapshot() },
		"settings": map[string]any{
			"classes": classes, "clients": map[string]any{"marksRetry": true}, "discovery": "push", "fleetSize": d.Gateways, "me": number,
			"familyInfo": map[string]any{"blockedByLoads": waits, "dop": threads, "grants": true, "kindCores": []int{8}, "lanesCount": true,
				"largestShare": 0.4, "loads": loads, "progressPaceUs": 1_000_000, "saysCost": true, "sizeMb": []int{32768}, "whenShort": "swap"},
			"limits": map[string]any{"cancel": true, "connectTimeoutUs": 250_000, "keepaliveUs": 30_000_000, "maxAttempts": 4, "maxOpen": 20000,
				"maxRetryAfterUs": 2_000_000, "multiplex": 32, "parallelTries": false, "peerMessages": d.Peers, "probes": true, "retryAfter": true},
			"penalties": map[string]any{"probe": 0.011},
			"rules": map[string]any{"answerSlackUs": 20_000, "coldShare": 0.34, "overloadFactor": 3, "stopSendingWithinUs": grace * 1000,
				"tipAfterUs": 1_500_000, "warmAfterUs": 14_000_000},
			"skus": []string{"std-8"}, "stats": map[string]any{"fields": []string{"util"}, "how": "probe"}, "worthBy": "request",
			"zones": d.Zones, "layer": 0, "locality": 0,
		},
	}
}

// NewID draws a request id.
func NewID() string {
	const digits = "0123456789abcdef"
	b := make([]byte, 16)
	for i := range b {
		b[i] = digits[rand.IntN(len(digits))]
	}
	return string(b)
}

// ErrSetup marks what has to hold before the disruption.
var ErrSetup = errors.New("the case could not be set up")
