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

// Class describes one kind of request in the load.
type Class struct {
	Name             string
	GatewayClass     string        `json:"As"` // class that is sent to gateways; empty: Name
	Share            float64       // of all requests, relative to the shares of the other classes
	Statements       []string      // templates, chosen with equal probability; {group} and {literal} are replaced
	Groups           int           // number of table groups; requests choose a group from 1 to Groups by Zipf's law
	Zipf             float64       // exponent of Zipf's law; 0: all groups have equal probability
	Literals         int           // number of different literals; 0: each request draws its own
	LatencyObjective time.Duration `json:"Quoted"`   // an answer within this time earns the full weight
	MaxWait          time.Duration `json:"Patience"` // how long the client waits for the answer, including all retries
	MarkRetry        bool          // the client's own retries carry retry=1
	Idempotent       bool          `json:"Repeat"` // a second execution does no harm, so clients may retry even if the first may have run
}

// WireName returns the name of the class that is sent to gateways.
func (c *Class) WireName() string {
	if c.GatewayClass != "" {
		return c.GatewayClass
	}
	return c.Name
}

// Request is one arrival of a schedule. Number is its position in the schedule, from 0, regardless of which process
// sends it.
type Request struct {
	Number     uint64
	At         time.Duration // intended time, from the start of the run
	Class      int           // index into the classes of the load
	Template   int           // index into the statements of the class
	Group      int           // table group, from 1
	Literal    uint64
	RandomBits uint64 // random; the client's misbehavior is drawn from it
}

// Schedule generates the requests of a load in the order of their times. For a given shape and classes, a request
// depends only on the seed and its number, so every process that generates the schedule gets the same requests.
type Schedule struct {
	classes                []Class
	cumulativeShares       []float64   // by class: sum of the shares up to this class
	cumulativeGroupWeights [][]float64 // by class and group: sum of the group weights up to this group
	stream                 Stream
	seed                   uint64
	length                 time.Duration // 0: until the shape ends
	next                   uint64        // number of the next request
	marks                  []Mark        // by number of the request; nil: class and group are drawn
}

// maxGroups is the largest number of table groups of a class.
const maxGroups = 1 << 20

// NewSchedule returns the schedule of a load with a shape and a length (0: until the shape ends).
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

// cumulativeZipf returns the cumulative sums of the weights of Zipf's law, which are 1/rank^exponent.
func cumulativeZipf(groups int, exponent float64) (sums []float64) {
	sum := 0.0
	for rank := 1; rank <= groups; rank++ {
		sum += math.Pow(float64(rank), -exponent)
		sums = append(sums, sum)
	}
	return sums
}

// Next returns the next arrival, regardless of which process sends it. ok is false at the end of the schedule.
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
	// Marks replace class and group only after the draws above, so that the draws below are the same as without marks.
	if s.marks != nil {
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

// drawFraction draws a number that is at least 0 and less than 1.
func drawFraction(random *rand.PCG) float64 { return float64(random.Uint64()>>11) / (1 << 53) }

// findFraction returns the index of the first cumulative sum that exceeds the given fraction of the last sum.
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

// Shard returns the index of the process that sends an arrival, if the arrivals are divided among processes.
func Shard(number uint64, processes int) int { return int(number % uint64(processes)) }

// Statement appends the text of a request's statement, without the comment that carries the request's fields.
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
