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

// Kind is how the rows of a template are found.
type Kind int

// The kinds of templates.
const (
	PointLookup Kind = iota // by a key, to one value
	RangeScan               // by a key, over a range
	IndexJoin               // as a span, with another table found by its key
	FullScan                // all rows: by no column, by one that is no key, or by a function of one
	CrossJoin               // two tables that no condition binds
	BulkLoad                // it loads its table
	KindCount   = iota
)

var kindNames = [KindCount]string{"look-up", "span", "join", "whole table", "loose join", "load"}

func (k Kind) String() string { return kindNames[k] }

// Template is one of a planner's statements: its text, with {group} and {literal} to be replaced, and what it costs.
type Template struct {
	Kind Kind
	Text string

	factor   float64 // of its own, by which what its kind takes is multiplied
	badShare float64 // share of runs with a bad plan
	skewed   bool    // for some literals it takes many times the usual
}

// Planner is a fake of an engine's optimizer and disks. What a run costs depends on the statement, its literal, and how far loads
// have grown its tables. The planner knows a template by a mark in the name of a column and does not parse the statement, so that it
// shares no code with the classifier that is measured against it.
type Planner struct {
	Templates []Template

	mu    sync.Mutex
	seed  uint64
	loads map[int]int
}

// The constants of a planner, chosen once so that the kinds differ by as much as in a service of look-ups and reports, with some
// templates in between. Measurements use other seeds than those with which the constants were chosen.
const (
	plannerRows    = 1e6  // of a table, usually
	rowsSpread     = 0.3  // of their logarithms
	templateSpread = 0.3  // of the logarithms of templates' own factors
	runSpread      = 0.35 // of the logarithms of runs
	badPlanShare   = 0.1
	badPlanFactor  = 10.0 // times the usual, up to twice that
	skewFactor     = 25.0
	skewLiterals   = 16   // one of so many literals is expensive
	loadGrowth     = 1.03 // by which each load multiplies the rows of its tables
)

// The names of columns. Keys are those that an operator would declare as keys.
var (
	KeyColumns   = []string{"clave", "distrito", "dia"}
	otherColumns = []string{"nota", "votos", "mesa", "ronda", "acta", "folio", "turno", "cargo"}
)

// kindShares are the shares of the kinds among templates, added up; what is left over are bulk loads.
var kindShares = []struct {
	below float64
	kind  Kind
}{{0.40, PointLookup}, {0.62, RangeScan}, {0.74, IndexJoin}, {0.92, FullScan}, {0.96, CrossJoin}}

// NewPlanner draws so many templates.
func NewPlanner(seed int64, templates int) *Planner {
	p := &Planner{seed: uint64(seed), loads: map[int]int{}}
	d := templateDrawer{rand.New(rand.NewPCG(p.seed, 11))}
	for n := range templates {
		p.Templates = append(p.Templates, d.draw(fmt.Sprintf("f%d", n)))
	}
	return p
}

// templateDrawer draws templates. The order of its draws is part of what a seed stands for.
type templateDrawer struct{ random *rand.Rand }

func (d templateDrawer) pick(list []string) string { return list[d.random.IntN(len(list))] }

func (d templateDrawer) drawKind() Kind {
	at := d.random.Float64()
	for _, share := range kindShares {
		if at < share.below {
			return share.kind
		}
	}
	return BulkLoad
}

// draw draws a template with a mark as the name of a column.
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

// drawText draws the text of a template, and how often its plans are bad.
func (d templateDrawer) drawText(t *Template, mark, columns, key, tail string) {
	switch t.Kind {
	case PointLookup:
		t.Text = fmt.Sprintf("SELECT %s FROM %s WHERE %s = '{literal}'", columns, mainTable, key)
		for range d.random.IntN(2) {
			t.Text += " AND " + d.pick(otherColumns) + " > 3"
		}
	case RangeScan:
		t.badShare, t.skewed = badPlanShare, d.random.IntN(4) == 0
		condition := []string{" BETWEEN '{literal}' AND 'z'", " > '{literal}'", " LIKE '{literal}%'"}[d.random.IntN(3)]
		t.Text = fmt.Sprintf("SELECT %s FROM %s WHERE %s%s%s", columns, mainTable, key, condition, tail)
	case IndexJoin:
		t.badShare = badPlanShare
		t.Text = fmt.Sprintf("SELECT m.%s FROM %s m JOIN %s c ON c.clave = m.clave WHERE m.%s > '{literal}'%s",
			strings.ReplaceAll(columns, ", ", ", m."), mainTable, joinedTable, key, strings.ReplaceAll(tail, "BY ", "BY m."))
		t.Text = strings.ReplaceAll(t.Text, "m.count(", "count(")
	case FullScan:
		t.badShare = badPlanShare
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

// match finds the template of a statement by its mark, with the number of its group and its literal; nil: there is none.
func (p *Planner) match(statement string) (template *Template, group int, literal string) {
	template = p.findMark(statement)
	if template == nil {
		return nil, 0, ""
	}
	if _, rest, ok := strings.Cut(statement, "actas_"); ok {
		group, _ = strconv.Atoi(leadingDigits(rest)) // 0 if it has none
	}
	if _, rest, ok := strings.Cut(statement, "'"); ok {
		literal, _, _ = strings.Cut(strings.TrimPrefix(rest, "%"), "'")
		literal = strings.TrimSuffix(literal, "%")
	}
	return template, group, literal
}

// findMark finds the template whose mark, f and its number, stands in a statement as the start of a word.
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

// TypicalCost is what a statement takes with a good plan, in ms, and the memory it needs in MB; ok is false for
// a statement of none of the planner's templates.
func (p *Planner) TypicalCost(statement string) (ms, memory float64, ok bool) {
	template, group, literal := p.match(statement)
	if template == nil {
		return 0, 0, false
	}
	ms, memory = p.typicalCost(template, group, literal)
	return ms, memory, true
}

// typicalCost is what a template takes with a good plan for one group and literal, in ms, and the memory it needs in MB.
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

// IsExpensive tells whether a literal is one for which skewed templates take many times the usual.
func IsExpensive(literal string) bool {
	hash := fnv.New32a()
	hash.Write([]byte(literal))
	return hash.Sum32()%skewLiterals == 0
}

// DrawCost is what one run of a statement takes, drawn by the id of its request: the same wherever it runs.
func (p *Planner) DrawCost(statement, id string) (took time.Duration, memory float64, ok bool) {
	template, group, literal := p.match(statement)
	if template == nil {
		return 0, 0, false
	}
	ms, memory := p.typicalCost(template, group, literal)
	hash := fnv.New64a()
	hash.Write([]byte(id))
	random := rand.New(rand.NewPCG(hash.Sum64(), p.seed))
	ms *= math.Exp(runSpread * random.NormFloat64())
	if random.Float64() < template.badShare {
		ms *= badPlanFactor * (1 + random.Float64())
	}
	return time.Duration(ms * float64(time.Millisecond)), memory, true
}

// RecordCompletion takes down that a statement has run to its end: a load grows its tables.
func (p *Planner) RecordCompletion(statement string) {
	if template, group, _ := p.match(statement); template != nil && template.Kind == BulkLoad {
		p.mu.Lock()
		p.loads[group]++
		p.mu.Unlock()
	}
}

// SkewedTemplates is how many templates take many times the usual for some literals.
func (p *Planner) SkewedTemplates() (n int) {
	for i := range p.Templates {
		if p.Templates[i].skewed {
			n++
		}
	}
	return n
}
