package router

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/resp"
)

// prober asks one engine for its report on a connection of its own.
type prober struct {
	e    *engine
	tcp  net.Conn
	r    *bufio.Reader
	used time.Time
	tag  int
}

func (p *prober) serve() {
	o := p.e.o
	for range p.e.bell {
		kept := p.tcp != nil
		how, report := p.guarded()
		if how == admission.Reset && kept {
			how, report = p.guarded() // it died while idle, which tells nothing of now
		}
		o.tell(func(now admission.Time) { o.module.Probed(now, p.e.name, how, report) })
	}
	p.end("retired")
}

func (p *prober) end(code string) {
	if p.tcp != nil {
		p.tcp.Close()
		p.tcp = nil
		p.e.o.connectionEnded("probe", string(p.e.name), code, 0, nil)
		p.e.o.connections.Add(-1)
	}
}

// guarded makes one probe; a fault of ours in it counts as the engine's error.
func (p *prober) guarded() (how admission.Outcome, report admission.Report) {
	defer func() {
		if fault := recover(); fault != nil {
			p.e.o.connectionEnded("probe", string(p.e.name), "panic", 0, fault)
			how, report = admission.Errored, admission.NoReport
		}
	}()
	return p.ask()
}

// ask makes one probe. Its answer has as long as a connection to come up: the site states no other wait.
func (p *prober) ask() (admission.Outcome, admission.Report) {
	within := p.e.o.network.ConnectWithin
	if time.Since(p.used) > p.e.o.network.IdleClose-within {
		p.end("idle")
	}
	if p.tcp == nil {
		tcp, err := net.DialTimeout("tcp", p.e.address, within)
		if err != nil {
			p.e.o.connectionEnded("probe", string(p.e.name), endCode(err), 0, nil)
			return admission.Unreachable, admission.NoReport
		}
		p.e.o.connections.Add(1)
		p.tcp, p.r = tcp, bufio.NewReaderSize(tcp, resp.MostArray)
	}
	p.used = time.Now()
	p.tcp.SetDeadline(p.used.Add(within))
	p.tag++
	tag := "top" + strconv.Itoa(p.tag)
	if _, err := p.tcp.Write(resp.Array(nil, "top", tag)); err != nil {
		p.end(endCode(err))
		return admission.Reset, admission.NoReport
	}
	for {
		b, _ := p.r.Peek(p.r.Buffered())
		parts, n, err := resp.Parse(b, nil)
		if err != nil || n > 0 && len(parts) < 2 {
			p.end("bad_answer")
			return admission.Errored, admission.NoReport
		}
		if n == 0 {
			if _, err = p.r.Peek(len(b) + 1); errors.Is(err, os.ErrDeadlineExceeded) {
				p.end("silent")
				return admission.TimedOut, admission.NoReport
			} else if err != nil {
				p.end(endCode(err))
				return admission.Reset, admission.NoReport
			}
			continue
		}
		if string(parts[0]) != tag {
			p.r.Discard(n)
			continue
		}
		how, report := admission.Delivered, admission.NoReport
		if string(parts[1]) == "ill" || string(parts[1]) == "failed" {
			how = admission.Errored
		} else if len(parts) > 2 {
			report = resp.Report(parts[2])
		}
		p.r.Discard(n)
		return how, report
	}
}
