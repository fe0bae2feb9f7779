package healthreport

import (
	"encoding/binary"
	"errors"
	"math"

	"magpiebank/internal/admission"
)

// MaxMessageBytes is the longest message in bytes: the simulator's wire carries no longer one, and a datagram has room for more beside it.
const MaxMessageBytes = 256

const (
	version    = 1
	headBytes  = 5  // version, and the sender's clock
	entryBytes = 20 // of an entry with four figures; most have fewer
)

// ErrMessage is what can't be read.
var ErrMessage = errors.New("judgement: no message of this version")

// The parts of an entry that may be there.
const (
	hasGood = 1 << iota
	hasBad
	hasHeld
	hasUtil
	hasMemory
	hasDisks
	howBad // from this bit on: how the last failure was
)

// start is an engine's last start as it goes over the wire: its last 24 bits tell any two within half an hour apart.
func start(since Time) uint32 { return uint32(since) & startMask }

const startMask = 1<<24 - 1

// Ages are told in steps that fit a byte, rounded up so that nothing seems younger than it is.
const (
	outcomeStep = 40 * admission.Millisecond // 254 of them are Use
	reportStep  = 12 * admission.Millisecond // and Fresh
)

func ageByte(now, at, step Time) (byte, bool) {
	n := (now - at + step - 1) / step
	return byte(n), n >= 0 && n < 255
}

type writer struct {
	b     []byte
	count int
}

func begin(now Time) *writer {
	b := make([]byte, 0, MaxMessageBytes)
	return &writer{b: binary.BigEndian.AppendUint32(append(b, version), uint32(now))}
}

// add tells whether there was room. What is too old to count is left out.
func (w *writer) add(now Time, hash uint32, since Time, r record) bool {
	n := len(w.b)
	b := binary.BigEndian.AppendUint32(w.b, hash)
	s := start(since)
	b = append(b, byte(s>>16), byte(s>>8), byte(s), 0)
	flags := 0
	if age, ok := ageByte(now, r.goodAt, outcomeStep); ok {
		flags, b = flags|hasGood, append(b, age)
	}
	if age, ok := ageByte(now, r.badAt, outcomeStep); ok {
		flags, b = flags|hasBad|int(r.bad-admission.Erred)*howBad, append(b, age)
	}
	if age, ok := ageByte(now, r.reportAt, reportStep); ok {
		b = append(b, age)
		for i, v := range []float64{r.report.InFlight / 10, r.report.Utilization, r.report.Memory, r.report.Disks} {
			if v >= 0 {
				flags |= hasHeld << i
				b = binary.BigEndian.AppendUint16(b, uint16(min(math.MaxUint16, math.Round(v*1000))))
			}
		}
	}
	if b[n+7] = byte(flags); len(b) > MaxMessageBytes {
		return false
	}
	w.b = b
	w.count++
	return true
}

func (w *writer) bytes() []byte { return w.b }

type reader struct {
	b    []byte
	sent uint32
}

// entry is what one gateway tells of one engine, with ages.
type entry struct {
	hash, start       uint32
	good, bad, report Time // ages; below 0: not told
	how               admission.Observation
	load              admission.Report
}

// at is the entry by the hearer's clock.
func (e *entry) at(now, late Time) record {
	r := empty
	if e.good >= 0 {
		r.goodAt = now - late - e.good
	}
	if e.bad >= 0 {
		r.badAt, r.bad = now-late-e.bad, e.how
	}
	if e.report >= 0 {
		r.reportAt, r.report = now-late-e.report, e.load
	}
	return r
}

// read checks a whole message before any of it is used.
func read(b []byte) (*reader, error) {
	if len(b) < headBytes || len(b) > MaxMessageBytes || b[0] != version {
		return nil, ErrMessage
	}
	r := &reader{b: b[headBytes:], sent: binary.BigEndian.Uint32(b[1:])}
	for check := *r; len(check.b) > 0; {
		if _, ok := check.next(); !ok {
			return nil, ErrMessage
		}
	}
	return r, nil
}

// next is the next entry.
func (r *reader) next() (e entry, ok bool) {
	b := r.b
	if len(b) < 8 {
		return e, false
	}
	e = entry{hash: binary.BigEndian.Uint32(b), start: uint32(b[4])<<16 | uint32(b[5])<<8 | uint32(b[6]), good: -1, bad: -1, report: -1, how: admission.Erred, load: admission.NoReport}
	flags := int(b[7])
	b = b[8:]
	take := func(n int) []byte {
		if len(b) < n {
			flags = -1
			return make([]byte, n)
		}
		v := b[:n]
		b = b[n:]
		return v
	}
	if e.how = admission.Erred + admission.Observation(flags/howBad); e.how > admission.Unreached {
		return e, false
	}
	if flags&hasGood != 0 {
		e.good = Time(take(1)[0]) * outcomeStep
	}
	if flags > 0 && flags&hasBad != 0 {
		e.bad = Time(take(1)[0]) * outcomeStep
	}
	if flags > 0 && flags&(hasHeld|hasUtil|hasMemory|hasDisks) != 0 {
		e.report = Time(take(1)[0]) * reportStep
		for i, v := range []*float64{&e.load.InFlight, &e.load.Utilization, &e.load.Memory, &e.load.Disks} {
			if flags > 0 && flags&(hasHeld<<i) != 0 {
				*v = float64(binary.BigEndian.Uint16(take(2))) / 1000
				if i == 0 {
					*v = math.Round(*v*100) / 10
				}
			}
		}
	}
	if flags < 0 {
		return e, false
	}
	r.b = b
	return e, true
}
