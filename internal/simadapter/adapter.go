// Package simadapter connects admission controllers to a simulator. It reads batches of events from one stream, passes each
// event to the controller instance that it names, and writes the actions of the instances to another stream. Everything runs
// on the goroutine that calls Serve.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/healthreport"
	"magpiebank/internal/config"
	"magpiebank/internal/jsonvalue"
)

// microsPerTick converts times: admission.Time counts units of 100 microseconds, the simulator's messages use microseconds.
const microsPerTick = 100

// maxEndpointLists is the maximum number of endpoint lists that the simulator may define.
const maxEndpointLists = 16

// readBufferBytes is the size of the input buffer.
const readBufferBytes = 1 << 16

// Serve reads batches of events from in and writes a reply to each batch to out. It returns nil at the end of the input. If a
// message is malformed, it returns an error that names the line, the message and the field, and writes no reply to the batch
// that contains the message.
func Serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferBytes)
	a := &adapter{instances: map[int]*instance{}}
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		a.fields.startLine()
		a.handleLine(strings.TrimRight(line, "\r\n"))
		if a.fields.err != nil {
			return a.fields.err
		}
		if !a.batchComplete {
			continue
		}
		a.batchComplete = false
		if _, err := out.Write(a.reply); err != nil {
			return err
		}
		a.reply = a.reply[:0]
	}
}

// adapter is the state of one call of Serve.
type adapter struct {
	fields        fieldReader
	now           admission.Time
	sequence      string // number of the batch, as sent by the simulator; the reply repeats it
	batchComplete bool   // the batch is complete, and reply must be written
	reply         []byte
	instances     map[int]*instance
	endpoints     endpointLists
}

// endpointLists holds the endpoint lists. A "directory" message begins a list and gives its number and its length; the "entry"
// messages after it add the endpoints.
type endpointLists struct {
	lists     [maxEndpointLists][]admission.Endpoint
	open      int // number of the list that entries are added to
	remaining int // number of entries that the open list still lacks
}

// handleLine decodes and processes one message.
func (a *adapter) handleLine(line string) {
	f := &a.fields
	f.startMessage(line)
	if a.endpoints.remaining > 0 && f.message != "entry" {
		f.fail("entries", strconv.Itoa(a.endpoints.remaining)+" more entry lines")
		return
	}
	switch f.message {
	case "clock":
		a.now = f.timestamp("tUs")
		a.sequence = f.text("seq")
	case "flush":
		a.reply = append(append(append(a.reply, "ready\t"...), a.sequence...), '\n')
		a.batchComplete = true
	case "directory":
		a.openEndpointList()
	case "entry":
		a.addEndpoint()
	case "boot":
		a.bootInstance()
	default:
		a.handleEvent()
	}
}

func (a *adapter) openEndpointList() {
	number, count := a.fields.integer("sheet"), a.fields.integer("membersList")
	switch {
	case !validListNumber(number):
		a.fields.fail("sheet", listNumberRange)
	case count < 0:
		a.fields.fail("membersList", "a count")
	default:
		a.endpoints.open, a.endpoints.remaining = int(number), int(count)
		a.endpoints.lists[number] = nil
	}
}

// listNumberRange is the range of the numbers of endpoint lists, as errors state it. It depends on maxEndpointLists.
const listNumberRange = "0 to 15"

func validListNumber(number int64) bool { return number >= 0 && number < maxEndpointLists }

func (a *adapter) addEndpoint() {
	f, lists := &a.fields, &a.endpoints
	if lists.remaining == 0 {
		f.fail("engine", "no entry outside a directory")
		return
	}
	lists.remaining--
	endpoint := admission.Endpoint{Engine: admission.EngineID(f.id("engine")), Zone: int(f.integer("area")),
		Kind: int(f.integer("hw")), Group: int(f.integer("group"))}
	switch f.text("health") {
	case "live":
		endpoint.State = admission.Live
	case "quiescing":
		endpoint.State = admission.Draining
	case "dead":
		endpoint.State = admission.Gone
	default:
		f.fail("health", "live, quiescing or dead")
	}
	f.number("capacityHint")
	endpoint.StartedAt = f.timestamp("onlineSinceUs")
	lists.lists[lists.open] = append(lists.lists[lists.open], endpoint)
}

// bootInstance starts a controller instance. Its deployment is the message's last field, in JSON.
func (a *adapter) bootInstance() {
	f := &a.fields
	id, seed := int(f.integer("routerId")), f.integer("entropy")
	if !f.hasMore {
		f.fail("info", "a JSON object")
	}
	if f.err != nil {
		return
	}
	info, err := jsonvalue.Parse("info", []byte(f.rest))
	var deployment *admission.Deployment
	if err == nil {
		deployment, err = config.ReadDeployment(info)
	}
	if err != nil {
		f.err = fmt.Errorf("line %d: boot: %w", f.line, err)
		return
	}
	i := &instance{adapter: a, id: id, classCount: len(deployment.Classes)}
	a.instances[id] = i
	if deployment.PeerMessages && deployment.Gateways > 1 {
		i.reports = healthreport.New(deployment.Gateways-1, healthreport.MaxEjectedShare(deployment, len(info.Texts("zones"))),
			float64(deployment.GatewayIndex)/float64(deployment.Gateways))
	}
	i.recoverPanic(func() { i.controller = admission.New(a.now, seed, deployment, i) })
}
