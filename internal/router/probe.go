package router

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// prober asks one engine for its report on a connection of its own.
type prober struct {
	e     *engine
	begun bool // there is a connection, or one is being dialled
	tcp   net.Conn
	r     *bufio.Reader
	used  time.Time
	tag   int
}

func (p *prober) serve() {
	o := p.e.o
	for range p.e.wake {
		how, report := p.guarded()
		if how != admission.Served && how != admission.Unreachable && !p.begun {
			how, report = p.guarded() // a connection may break and an answer be spoilt once, from a sound engine
		}
		o.tell(func(now admission.Time) { o.module.HandleProbeResult(now, p.e.name, how, report) })
	}
	p.end("retired", nil)
}

// end closes the connection, if there is one, down to its line in the log.
func (p *prober) end(code string, fault any) {
	if !p.begun {
		return
	}
	p.begun = false
	p.e.o.engineConns.Add(-1)
	if p.tcp != nil {
		p.tcp.Close()
		p.tcp = nil
	}
	p.e.o.connectionEnded("probe", string(p.e.name), code, 0, fault)
}

// guarded makes one probe; a fault of ours in it ends the connection and counts as the engine's error.
func (p *prober) guarded() (how admission.Outcome, report admission.Report) {
	defer func() {
		if fault := recover(); fault != nil {
			p.end("panic", fault)
			how, report = admission.Errored, admission.NoReport
		}
	}()
	return p.ask()
}

// ask makes one probe. Its answer has as long as a connection to come up: the site states no other wait.
func (p *prober) ask() (admission.Outcome, admission.Report) {
	within := p.e.o.network.ConnectTimeout
	if time.Since(p.used) > p.e.o.idleAfter() {
		p.end("idle", nil)
	}
	if !p.begun {
		p.begun = true
		p.e.o.connections.Add(1)
		p.e.o.engineConns.Add(1)
		tcp, err := p.e.o.dial(p.e.address)
		if err != nil {
			p.end(endCode(err), nil)
			return admission.Unreachable, admission.NoReport
		}
		p.tcp, p.r = tcp, bufio.NewReaderSize(tcp, resp.MaxBulkBytes)
	}
	p.used = time.Now()
	p.tcp.SetDeadline(p.used.Add(within))
	p.tag++
	tag := "top" + strconv.Itoa(p.tag)
	if _, err := p.tcp.Write(resp.AppendArray(nil, "top", tag)); err != nil {
		p.end(endCode(err), nil)
		return admission.Reset, admission.NoReport
	}
	var parts [][]byte
	for {
		var n int
		var err error
		if parts, n, err = nextAnswer(p.r, parts, func() {}); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && speaks(p.tcp) { // it came while this process stood still
				if err = readArrived(p.tcp, p.r, p.r.Buffered()+1); err == nil {
					continue
				}
			}
			p.end(endCode(err), nil)
			switch {
			case errors.Is(err, resp.ErrMalformedArray):
				return admission.Errored, admission.NoReport
			case errors.Is(err, os.ErrDeadlineExceeded):
				return admission.TimedOut, admission.NoReport
			}
			return admission.Reset, admission.NoReport
		}
		if string(parts[0]) != tag {
			p.r.Discard(n)
			continue
		}
		how, report := admission.Served, admission.NoReport
		if string(parts[1]) == "ill" || string(parts[1]) == "failed" {
			how = admission.Errored
		} else if len(parts) > 2 {
			report = resp.ParseLoadReport(parts[2])
		}
		p.r.Discard(n)
		return how, report
	}
}
