package arrival

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// Class is one kind of request in the load.
type Class struct {
	Name             string
	GatewayClass     string        `json:"As"` // the class that gateways are told; empty: Name
	Share            float64       // of all requests, against the other classes' shares
	Statements       []string      // templates, drawn evenly: {group} and {literal} are filled in
	Groups           int           // of tables, from 1 on; their draws follow Zipf's law
	Zipf             float64       // its exponent; 0: all groups alike
	Literals         int           // how many different literals there are; 0: each its own
	LatencyObjective time.Duration `json:"Quoted"`   // an answer within it has its full worth
	MaxWait          time.Duration `json:"Patience"` // how long the client waits for the answer
	MarkRetry        bool          // the client's own retries carry retry=1
	Idempotent       bool          `json:"Repeat"` // a second run does no harm, so that clients may retry after any end
}

// WireName is the name of the class that gateways are told.
func (l *Class) WireName() string {
	if l.GatewayClass != "" {
		return l.GatewayClass
	}
	return l.Name
}

// Request is one arrival. N counts all arrivals of a schedule from 0, whoever sends them.
type Request struct {
	Number   uint64
	At       time.Duration // intended, from the start of the run
	Class    int
	Template int
	Group    int
	Literal  uint64
	Draw     uint64 // chance of its own, for what the client decides
}

// Schedule gives the requests of a load in order. What a request is depends on the seed and its number alone, so that
// it is the same whoever draws it.
type Schedule struct {
	lanes  []Class
	sums   []float64 // of the shares, up to each class
	zipfs  [][]float64
	stream Stream
	seed   uint64
	length time.Duration
	n      uint64
	marks  []Mark
}

// NewSchedule draws a load from a shape for a length of time (0: until the shape ends).
func NewSchedule(shape *Shape, lanes []Class, seed int64, length time.Duration) (*Schedule, error) {
	s := &Schedule{lanes: lanes, stream: shape.Stream(seed), seed: uint64(seed), length: length}
	if shape.Kind == Replay && len(shape.Marks) == len(shape.Times) {
		s.marks = shape.Marks
	}
	sum := 0.0
	for i, l := range lanes {
		if !(l.Share >= 0) || len(l.Statements) == 0 || l.Groups < 0 || l.Groups > 1<<20 || l.Zipf < 0 {
			return nil, fmt.Errorf("lanes[%d]: expected a share from 0, at least one statement and up to %d groups", i, 1<<20)
		}
		sum += l.Share
		s.sums = append(s.sums, sum)
		var weights []float64
		total := 0.0
		for g := 1; g <= max(1, l.Groups); g++ {
			total += math.Pow(float64(g), -l.Zipf)
			weights = append(weights, total)
		}
		s.zipfs = append(s.zipfs, weights)
	}
	if !(sum > 0) {
		return nil, fmt.Errorf("lanes: expected shares that sum up to more than 0")
	}
	return s, nil
}

// Next is the next arrival, whoever sends it.
func (s *Schedule) Next() (t Request, ok bool) {
	at, ok := s.stream.Next()
	if !ok || s.length > 0 && at >= s.length {
		return t, false
	}
	n := s.n
	s.n++
	chance := rand.NewPCG(s.seed, n)
	share := func() float64 { return float64(chance.Uint64()>>11) / (1 << 53) }
	t = Request{Number: n, At: at, Class: search(s.sums, share())}
	l := &s.lanes[t.Class]
	t.Template = int(chance.Uint64() % uint64(len(l.Statements)))
	t.Group = 1 + search(s.zipfs[t.Class], share())
	if s.marks != nil { // the draws above are made all the same, so that what follows is
		t.Class, t.Group = s.marks[n].Class, max(1, s.marks[n].Group)
		t.Template %= len(s.lanes[t.Class].Statements)
		l = &s.lanes[t.Class]
	}
	t.Literal = chance.Uint64()
	if l.Literals > 0 {
		t.Literal %= uint64(l.Literals)
	}
	t.Draw = chance.Uint64()
	return t, true
}

// search finds the entry of growing sums into which a share of the last one falls.
func search(sums []float64, share float64) int {
	want := share * sums[len(sums)-1]
	lo, hi := 0, len(sums)-1
	for lo < hi {
		if mid := (lo + hi) / 2; sums[mid] > want {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// Shard tells which of n processes sends an arrival.
func Shard(n uint64, of int) int { return int(n % uint64(of)) }

// Statement appends a request's text, without the comment that carries its fields.
func (l *Class) Statement(dst []byte, t *Request) []byte {
	text := l.Statements[t.Template]
	for i := 0; i < len(text); {
		switch {
		case text[i] != '{':
			dst = append(dst, text[i])
			i++
		case len(text) >= i+len(groupMark) && text[i:i+len(groupMark)] == groupMark:
			dst = strconv.AppendInt(dst, int64(t.Group), 10)
			i += len(groupMark)
		case len(text) >= i+len(literalMark) && text[i:i+len(literalMark)] == literalMark:
			dst = strconv.AppendUint(dst, t.Literal, 16)
			i += len(literalMark)
		default:
			dst = append(dst, text[i])
			i++
		}
	}
	return dst
}

const (
	groupMark   = "{group}"
	literalMark = "{literal}"
)
