package arrival

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Class is one kind of request in the load.
type Class struct {
	Name             string
	GatewayClass     string        `json:"As"` // the class that is sent to gateways; empty: Name
	Share            float64       // of all requests, against the other classes' shares
	Statements       []string      // templates, drawn evenly: {group} and {literal} are filled in
	Groups           int           // of tables, from 1 on; their draws follow Zipf's law
	Zipf             float64       // its exponent; 0: all groups alike
	Literals         int           // how many different literals there are; 0: each its own
	LatencyObjective time.Duration `json:"Quoted"`   // an answer within it has its full weight
	MaxWait          time.Duration `json:"Patience"` // how long the client waits for the answer
	MarkRetry        bool          // the client's own retries carry retry=1
	Idempotent       bool          `json:"Repeat"` // a second run does no harm, so that clients may retry after any end
}

// WireName is the name of the class that is sent to gateways.
func (c *Class) WireName() string {
	if c.GatewayClass != "" {
		return c.GatewayClass
	}
	return c.Name
}

// Request is one arrival. Number counts all arrivals of a schedule from 0, whoever sends them.
type Request struct {
	Number     uint64
	At         time.Duration // intended, from the start of the run
	Class      int
	Template   int
	Group      int
	Literal    uint64
	RandomBits uint64 // random, for what the client decides
}

// Schedule gives the requests of a load in order. What a request is depends on the seed and its number alone, so that
// it is the same whoever draws it.
type Schedule struct {
	classes                []Class
	cumulativeShares       []float64   // of the classes
	cumulativeGroupWeights [][]float64 // weights of the groups, by class
	stream                 Stream
	seed                   uint64
	length                 time.Duration
	next                   uint64 // number of the next request
	marks                  []Mark
}

// maxGroups bounds a class's groups of tables.
const maxGroups = 1 << 20

// NewSchedule draws a load from a shape for a length of time (0: until the shape ends).
func NewSchedule(shape *Shape, classes []Class, seed int64, length time.Duration) (*Schedule, error) {
	schedule := &Schedule{classes: classes, stream: shape.Stream(seed), seed: uint64(seed), length: length}
	if shape.Kind == Replay && len(shape.Marks) == len(shape.Times) {
		schedule.marks = shape.Marks
	}
	sum := 0.0
	for index := range classes {
		class := &classes[index]
		if !(class.Share >= 0) || len(class.Statements) == 0 || class.Groups < 0 || class.Groups > maxGroups || class.Zipf < 0 {
			return nil, fmt.Errorf("lanes[%d]: expected a share from 0, at least one statement and up to %d groups", index, maxGroups)
		}
		sum += class.Share
		schedule.cumulativeShares = append(schedule.cumulativeShares, sum)
		schedule.cumulativeGroupWeights = append(schedule.cumulativeGroupWeights, cumulativeZipf(max(1, class.Groups), class.Zipf))
	}
	if !(sum > 0) {
		return nil, errors.New("lanes: expected shares that sum up to more than 0")
	}
	return schedule, nil
}

// cumulativeZipf returns the growing sums of Zipf's weights.
func cumulativeZipf(groups int, exponent float64) (sums []float64) {
	sum := 0.0
	for rank := 1; rank <= groups; rank++ {
		sum += math.Pow(float64(rank), -exponent)
		sums = append(sums, sum)
	}
	return sums
}

// Next returns the next arrival, whoever sends it.
func (s *Schedule) Next() (request Request, ok bool) {
	at, ok := s.stream.Next()
	if !ok || s.length > 0 && at >= s.length {
		return request, false
	}
	number := s.next
	s.next++
	random := rand.NewPCG(s.seed, number)
	request = Request{Number: number, At: at, Class: findFraction(s.cumulativeShares, drawFraction(random))}
	class := &s.classes[request.Class]
	request.Template = int(random.Uint64() % uint64(len(class.Statements)))
	request.Group = 1 + findFraction(s.cumulativeGroupWeights[request.Class], drawFraction(random))
	if s.marks != nil { // after the same draws as without marks, so that the following draws are the same too
		request.Class, request.Group = s.marks[number].Class, max(1, s.marks[number].Group)
		request.Template %= len(s.classes[request.Class].Statements)
		class = &s.classes[request.Class]
	}
	request.Literal = random.Uint64()
	if class.Literals > 0 {
		request.Literal %= uint64(class.Literals)
	}
	request.RandomBits = random.Uint64()
	return request, true
}

// drawFraction draws from 0 to 1.
func drawFraction(random *rand.PCG) float64 { return float64(random.Uint64()>>11) / (1 << 53) }

// findFraction returns the index of the growing sum into which a fraction of the last sum falls.
func findFraction(sums []float64, fraction float64) int {
	wanted := fraction * sums[len(sums)-1]
	low, high := 0, len(sums)-1
	for low < high {
		middle := (low + high) / 2
		if sums[middle] > wanted {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// Shard tells which of so many processes sends an arrival.
func Shard(number uint64, processes int) int { return int(number % uint64(processes)) }

// Statement appends a request's text, without the comment that carries its fields.
func (c *Class) Statement(dst []byte, request *Request) []byte {
	text := c.Statements[request.Template]
	for len(text) > 0 {
		switch {
		case strings.HasPrefix(text, groupPlaceholder):
			dst = strconv.AppendInt(dst, int64(request.Group), 10)
			text = text[len(groupPlaceholder):]
		case strings.HasPrefix(text, literalPlaceholder):
			dst = strconv.AppendUint(dst, request.Literal, 16)
			text = text[len(literalPlaceholder):]
		default:
			dst = append(dst, text[0])
			text = text[1:]
		}
	}
	return dst
}

const (
	groupPlaceholder   = "{group}"
	literalPlaceholder = "{literal}"
)
