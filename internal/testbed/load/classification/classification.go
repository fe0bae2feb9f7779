// Package classification measures how well statements are classed by what they will cost, against fakes whose true cost is
// known: at first sight, and after so many answers; and how soon a changed cost is detected. Its figures are simulated: it
// has no clock and no sockets, and the fakes' costs are drawn.
package classification

import (
	"math"
	"math/rand"
	"strconv"
	"strings"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/testbed/fake"
)

// The classes: look-ups, reports, and statements that load an engine noticeably. classBounds are the times in ms under
// which the first and second stay.
var (
	classBounds = []float64{45, 500}
	classNames  = []string{"short", "middle", "heavy"}
)

func classOf(workMillis float64) int {
	for class, bound := range classBounds {
		if workMillis < bound {
			return class
		}
	}
	return len(classBounds)
}

// Matrix counts predicted classes against true ones, for statements whose shape and group of tables had so many answers.
// The last column is of those for which nothing was known.
type Matrix struct {
	After int       `json:"answers"`
	Count [3][4]int `json:"true_given"`
}

// Wrong returns the share of predicted classes that were wrong, and the share of statements that got none.
func (m *Matrix) Wrong() (wrong, none float64) {
	all, incorrect, unknown := 0, 0, 0
	for trueClass, row := range m.Count {
		for predicted, count := range row {
			all += count
			switch {
			case predicted == len(classNames):
				unknown += count
			case predicted != trueClass:
				incorrect += count
			}
		}
	}
	return float64(incorrect) / math.Max(1, float64(all-unknown)), float64(unknown) / math.Max(1, float64(all))
}

// Result is the outcome of a measurement.
type Result struct {
	Seed       int64    `json:"seed"`
	Templates  int      `json:"forms"`
	Statements int      `json:"statements"`
	Matrices   []Matrix `json:"matrices"`
	Named      int      `json:"scans_named_at_first_sight"` // templates that read a whole table
	Scans      int      `json:"scans"`
	Mistaken   int      `json:"others_named_scans"`
	Split      int64    `json:"split_by_literal"`
	Skewed     int      `json:"skewed_forms"`

	Shifts  int     `json:"shifts"`       // of factor three
	Found   int     `json:"found_within"` // 20 answers
	Alarms  int64   `json:"false_alarms"`
	Answers int     `json:"answers_without_shift"`
	Mean    float64 `json:"answers_until_found"`
}

// answerCounts are the numbers of answers after which predicted classes are compared.
var answerCounts = []int{0, 10, 100, 1000}

const (
	modelBytes     = 64 << 20
	tableRows      = 1e6
	zipfExponent   = 1.05
	zipfOffset     = 20
	literals       = 40  // different ones of a template
	bulkLoadRarity = 200 // of so many drawn bulk loads one is run
	nanosPerMilli  = 1e6
)

// templateGroup is a template on one group of tables.
type templateGroup struct{ template, group int }

// measurement is one run of a planner's statements through a cost model.
type measurement struct {
	result  *Result
	planner *fake.Planner
	model   *costmodel.Model
	groups  int
	answers map[templateGroup]int
	seen    map[int]bool // templates
}

// Measure runs statements of a planner through a cost model, in the order that clients would send them: templates, groups
// and literals are drawn, and bulk loads among them grow the tables.
func Measure(seed int64, templates, groups, statements int) *Result {
	m := &measurement{result: &Result{Seed: seed, Templates: templates, Statements: statements}, planner: fake.NewPlanner(seed, templates),
		groups: groups, answers: map[templateGroup]int{}, seen: map[int]bool{}}
	m.model = costmodel.NewModel(modelBytes, 1, func(table *costmodel.Table) (rows float64, keys []string, ok bool) {
		return tableRows, fake.KeyColumns, strings.HasPrefix(table.Schema, "actas_")
	})
	for _, count := range answerCounts {
		m.result.Matrices = append(m.result.Matrices, Matrix{After: count})
	}
	random := rand.New(rand.NewSource(seed))
	zipf := rand.NewZipf(random, zipfExponent, zipfOffset, uint64(templates-1))
	for number := range statements {
		template := int(zipf.Uint64())
		if m.planner.Templates[template].Kind == fake.BulkLoad && number%bulkLoadRarity != 0 {
			continue
		}
		group := 1 + random.Intn(groups)
		text := fillTemplate(m.planner.Templates[template].Text, group, random.Intn(literals))
		m.run(templateGroup{template, group}, text, strconv.Itoa(number)+"-"+strconv.FormatInt(seed, 10))
	}
	m.result.Split, m.result.Skewed = m.model.SplitShapes.Load(), m.planner.SkewedTemplates()
	m.result.measureShifts(seed)
	return m.result
}

// run predicts a statement's cost, runs it, and has the model observe what it took.
func (m *measurement) run(key templateGroup, text, id string) {
	template := &m.planner.Templates[key.template]
	sql := []byte(text)
	statement := m.model.Inspect(sql, mysql.TableGroup(sql), 0)
	estimate := m.model.Estimate(&statement)
	if !m.seen[key.template] {
		m.seen[key.template] = true
		m.result.countFullScan(template, &estimate)
	}
	m.countPrediction(key, text, &estimate)
	m.answers[key]++
	took, memory, _ := m.planner.DrawCost(text, id)
	m.model.Observe(&statement, float64(took)/nanosPerMilli, memory)
	m.planner.RecordCompletion(text)
	if template.Kind == fake.BulkLoad {
		m.model.RecordLoad(key.group)
	}
}

// countPrediction compares the predicted class with the true one, where the statement had one of the counts of answers.
func (m *measurement) countPrediction(key templateGroup, text string, estimate *costmodel.Estimate) {
	for index, count := range answerCounts {
		// At first sight that of the shape counts, on whatever group it comes first.
		if m.answers[key] != count || count == 0 && !m.isFirstSight(key.template) {
			continue
		}
		typicalMillis, _, _ := m.planner.TypicalCost(text)
		predicted := len(classNames)
		if estimate.Known {
			predicted = classOf(estimate.WorkMillis)
		}
		m.result.Matrices[index].Count[classOf(typicalMillis)][predicted]++
	}
}

// isFirstSight tells whether a template had no answer on any group.
func (m *measurement) isFirstSight(template int) bool {
	for group := 1; group <= m.groups; group++ {
		if m.answers[templateGroup{template, group}] > 0 {
			return false
		}
	}
	return true
}

// countFullScan counts whether a template that reads a whole table was recognized at first sight.
func (r *Result) countFullScan(template *fake.Template, estimate *costmodel.Estimate) {
	named := estimate.FullScan != ""
	switch {
	case template.Kind == fake.FullScan || template.Kind == fake.CrossJoin:
		r.Scans++
		if named {
			r.Named++
		}
	case template.Kind != fake.BulkLoad && named:
		r.Mistaken++
	}
}

// MeasureSeeds adds up the measurements of so many seeds from one on: a single one has some hundred first sights.
func MeasureSeeds(seed int64, seeds, templates, groups, statements int) *Result {
	sum := Measure(seed, templates, groups, statements)
	for number := 1; number < seeds; number++ {
		one := Measure(seed+int64(number), templates, groups, statements)
		sum.Mean = (sum.Mean*float64(number) + one.Mean) / float64(number+1)
		sum.addCounts(one)
	}
	return sum
}

func (r *Result) addCounts(other *Result) {
	for index := range r.Matrices {
		for trueClass := range r.Matrices[index].Count {
			for predicted := range r.Matrices[index].Count[trueClass] {
				r.Matrices[index].Count[trueClass][predicted] += other.Matrices[index].Count[trueClass][predicted]
			}
		}
	}
	r.Templates += other.Templates
	r.Statements += other.Statements
	r.Named += other.Named
	r.Scans += other.Scans
	r.Mistaken += other.Mistaken
	r.Split += other.Split
	r.Skewed += other.Skewed
	r.Shifts += other.Shifts
	r.Found += other.Found
	r.Alarms += other.Alarms
	r.Answers += other.Answers
}

func fillTemplate(text string, group, literal int) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "{group}", strconv.Itoa(group)), "{literal}", "v"+strconv.Itoa(literal))
}
