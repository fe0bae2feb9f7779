package fake

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is the access method of a template.
type Kind int

// The kinds of templates.
const (
	PointLookup Kind = iota // reads rows by one value of a key
	RangeScan               // reads a range of a key
	IndexJoin               // reads a range of a key and joins another table by its key
	FullScan                // reads all rows: no condition, or one that can't use a key
	CrossJoin               // joins two tables without a join condition
	BulkLoad                // inserts rows into its table
	KindCount   = iota
)

var kindNames = [KindCount]string{"look-up", "span", "join", "whole table", "loose join", "load"}

func (k Kind) String() string { return kindNames[k] }

// Template is one of a planner's statements. The caller replaces {group} and {literal} in its text.
type Template struct {
	Kind Kind
	Text string

	factor             float64 // multiplies the service time of the template's kind
	badPlanProbability float64 // probability that a run uses a bad plan
	skewed             bool    // some literals multiply the service time by skewFactor
}

// Planner is a fake of an engine's optimizer and disks. The cost of a run depends on the statement, its literal, and how much bulk
// loads have grown its tables. The planner recognizes a template by a mark, the name of a column, and doesn't parse the statement, so
// it shares no code with the classifier that is measured against it.
type Planner struct {
	Templates []Template

	mu    sync.Mutex
	seed  uint64
	loads map[int]int // completed bulk loads by group
}

// The parameters of a planner. With them the kinds differ by as much as in a service of look-ups and reports, with some templates in
// between. Measurements use other seeds than those with which these values were set, so the values don't favor a measured seed.
const (
	plannerRows    = 1e6  // median number of rows of a table without loads
	rowsSpread     = 0.3  // standard deviation of the logarithm of a table's rows
	templateSpread = 0.3  // standard deviation of the logarithm of a template's factor
	runSpread      = 0.35 // standard deviation of the logarithm of a statement's service times with a good plan
	badPlanShare   = 0.1
	badPlanFactor  = 10.0 // a bad plan takes 10 to 20 times as long as a good one
	skewFactor     = 25.0
	skewLiterals   = 16   // one in 16 literals is expensive
	loadGrowth     = 1.03 // factor by which each load multiplies the rows of its group's tables
)

// The names of columns. KeyColumns are those that an operator would declare as keys.
var (
	KeyColumns   = []string{"clave", "distrito", "dia"}
	otherColumns = []string{"nota", "votos", "mesa", "ronda", "acta", "folio", "turno", "cargo"}
)

// kindShares holds the cumulative shares of the kinds among templates. The remaining templates are bulk loads.
var kindShares = []struct {
	below float64
	kind  Kind
}{{0.40, PointLookup}, {0.62, RangeScan}, {0.74, IndexJoin}, {0.92, FullScan}, {0.96, CrossJoin}}

// NewPlanner returns a planner with the given number of templates, drawn from a seed.
func NewPlanner(seed int64, templates int) *Planner {
	p := &Planner{seed: uint64(seed), loads: map[int]int{}}
	d := templateDrawer{rand.New(rand.NewPCG(p.seed, 11))}
	for n := range templates {
		p.Templates = append(p.Templates, d.draw(fmt.Sprintf("f%d", n)))
	}
	return p
}

// templateDrawer draws random templates. The order of its draws must not change: it determines the templates that a seed gives.
type templateDrawer struct{ random *rand.Rand }

func (d templateDrawer) pick(list []string) string { return list[d.random.IntN(len(list))] }

func (d templateDrawer) drawKind() Kind {
	point := d.random.Float64()
	for _, share := range kindShares {
		if point < share.below {
			return share.kind
		}
	}
	return BulkLoad
}

// draw draws a template. The mark is the name of a column in its text.
func (d templateDrawer) draw(mark string) Template {
	t := Template{factor: math.Exp(templateSpread * d.random.NormFloat64())}
	t.Kind = d.drawKind()
	columns := mark
	for range d.random.IntN(3) {
		columns += ", " + d.pick(otherColumns)
	}
	tail := ""
	switch d.random.IntN(4) {
	case 0:
		tail = " ORDER BY " + d.pick(otherColumns)
	case 1:
		columns += ", count(*)"
		tail = " GROUP BY " + mark
	}
	d.drawText(&t, mark, columns, d.pick(KeyColumns), tail)
	return t
}

// The tables of a template.
const (
	mainTable   = "actas_{group}.mesas"
	joinedTable = "actas_{group}.centros"
)

// drawText draws the text of a template, and sets whether it is skewed and how likely a bad plan is.
func (d templateDrawer) drawText(t *Template, mark, columns, key, tail string) {
	switch t.Kind {
	case PointLookup:
		t.Text = fmt.Sprintf("SELECT %s FROM %s WHERE %s = '{literal}'", columns, mainTable, key)
		for range d.random.IntN(2) {
			t.Text += " AND " + d.pick(otherColumns) + " > 3"
		}
	case RangeScan:
		t.badPlanProbability, t.skewed = badPlanShare, d.random.IntN(4) == 0
		condition := []string{" BETWEEN '{literal}' AND 'z'", " > '{literal}'", " LIKE '{literal}%'"}[d.random.IntN(3)]
		t.Text = fmt.Sprintf("SELECT %s FROM %s WHERE %s%s%s", columns, mainTable, key, condition, tail)
	case IndexJoin:
		t.badPlanProbability = badPlanShare
		t.Text = fmt.Sprintf("SELECT m.%s FROM %s m JOIN %s c ON c.clave = m.clave WHERE m.%s > '{literal}'%s",
			strings.ReplaceAll(columns, ", ", ", m."), mainTable, joinedTable, key, strings.ReplaceAll(tail, "BY ", "BY m."))
		t.Text = strings.ReplaceAll(t.Text, "m.count(", "count(")
	case FullScan:
		t.badPlanProbability = badPlanShare
		condition := []string{"", " WHERE " + d.pick(otherColumns) + " = '{literal}'", " WHERE upper(" + key + ") = '{literal}'",
			" WHERE " + key + " LIKE '%{literal}'"}[d.random.IntN(4)]
		t.Text = "SELECT " + columns + " FROM " + mainTable + condition + tail
	case CrossJoin:
		t.Text = fmt.Sprintf("SELECT m.%s, count(*) FROM %s m, %s c WHERE m.%s <> '{literal}' GROUP BY m.%s", mark, mainTable, joinedTable,
			d.pick(otherColumns), mark)
	case BulkLoad:
		t.Text = fmt.Sprintf("INSERT INTO %s (%s, clave) SELECT a, b FROM staging.lote WHERE c = '{literal}'", mainTable, mark)
	}
}

// match finds the template of a statement by its mark, and the number of its group and its literal. template is nil if no template
// matches.
func (p *Planner) match(statement string) (template *Template, group int, literal string) {
	template = p.findMark(statement)
	if template == nil {
		return nil, 0, ""
	}
	if _, rest, ok := strings.Cut(statement, "actas_"); ok {
		group, _ = strconv.Atoi(leadingDigits(rest)) // 0 if there are no digits
	}
	if _, rest, ok := strings.Cut(statement, "'"); ok {
		literal, _, _ = strings.Cut(strings.TrimPrefix(rest, "%"), "'")
		literal = strings.TrimSuffix(literal, "%")
	}
	return template, group, literal
}

// findMark finds the template whose mark occurs in a statement at the start of a word. A mark is "f" and the template's number.
func (p *Planner) findMark(statement string) *Template {
	for at := 0; ; {
		i := strings.IndexByte(statement[at:], 'f')
		if i < 0 {
			return nil
		}
		at += i + 1
		if at >= 2 && strings.IndexByte(" .(", statement[at-2]) < 0 {
			continue
		}
		if n, err := strconv.Atoi(leadingDigits(statement[at:])); err == nil && n < len(p.Templates) {
			return &p.Templates[n]
		}
	}
}

func leadingDigits(text string) string {
	end := 0
	for end < len(text) && text[end] >= '0' && text[end] <= '9' {
		end++
	}
	return text[:end]
}

// TypicalCost returns the service time of a statement with a good plan, in ms, and the memory it needs, in MB. ok is false if the
// statement matches none of the planner's templates.
func (p *Planner) TypicalCost(statement string) (ms, memory float64, ok bool) {
	template, group, literal := p.match(statement)
	if template == nil {
		return 0, 0, false
	}
	ms, memory = p.typicalCost(template, group, literal)
	return ms, memory, true
}

// typicalCost returns the service time of a template with a good plan for one group and literal, in ms, and the memory it needs, in MB.
func (p *Planner) typicalCost(template *Template, group int, literal string) (ms, memory float64) {
	p.mu.Lock()
	loads := p.loads[group]
	p.mu.Unlock()
	random := rand.New(rand.NewPCG(p.seed, uint64(group)+1000))
	rows := plannerRows * math.Exp(rowsSpread*random.NormFloat64()) * math.Pow(loadGrowth, float64(loads))
	switch template.Kind {
	case PointLookup:
		ms, memory = 2+2*math.Log10(rows), 8
	case RangeScan:
		ms, memory = 130*rows/plannerRows, 48
	case IndexJoin:
		ms, memory = 300*rows/plannerRows, 96
	case FullScan:
		ms, memory = 1400*rows/plannerRows, 256
	case CrossJoin:
		ms, memory = 6000*rows/plannerRows, 512
	case BulkLoad:
		ms, memory = 200, 64
	}
	if template.skewed && IsExpensive(literal) {
		ms *= skewFactor
	}
	return ms * template.factor, memory
}

// IsExpensive reports whether a literal multiplies the service time of skewed templates by skewFactor.
func IsExpensive(literal string) bool {
	hash := fnv.New32a()
	hash.Write([]byte(literal))
	return hash.Sum32()%skewLiterals == 0
}

// DrawCost draws the service time of one run of a statement, and returns it with the memory that the run needs, in MB. The request
// id seeds the draw, so the cost doesn't depend on the engine. ok is false if the statement matches no template.
func (p *Planner) DrawCost(statement, id string) (service time.Duration, memory float64, ok bool) {
	template, group, literal := p.match(statement)
	if template == nil {
		return 0, 0, false
	}
	ms, memory := p.typicalCost(template, group, literal)
	hash := fnv.New64a()
	hash.Write([]byte(id))
	random := rand.New(rand.NewPCG(hash.Sum64(), p.seed))
	ms *= math.Exp(runSpread * random.NormFloat64())
	if random.Float64() < template.badPlanProbability {
		ms *= badPlanFactor * (1 + random.Float64())
	}
	return time.Duration(ms * float64(time.Millisecond)), memory, true
}

// RecordCompletion records that a statement ran to its end. A bulk load grows the tables of its group.
func (p *Planner) RecordCompletion(statement string) {
	if template, group, _ := p.match(statement); template != nil && template.Kind == BulkLoad {
		p.mu.Lock()
		p.loads[group]++
		p.mu.Unlock()
	}
}

// SkewedTemplates returns the number of templates for which some literals are expensive.
func (p *Planner) SkewedTemplates() (n int) {
	for i := range p.Templates {
		if p.Templates[i].skewed {
			n++
		}
	}
	return n
}
