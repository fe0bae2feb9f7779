// Package classification measures how well statements are classified by their predicted cost, at first sight and after given
// numbers of answers, and how soon a change of the cost is detected. It compares predictions with a fake planner whose true
// costs are known. These results are simulated: there are no clock and no sockets, and the costs are drawn. Only the delay of
// classification is measured on this machine's clock.
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

// The classes are look-ups, reports, and statements that load an engine noticeably. classUpperBounds holds the upper bounds of
// the work of the first two, in milliseconds.
var (
	classUpperBounds = []float64{45, 500}
	classNames       = []string{"short", "middle", "heavy"}
)

func classOf(workMillis float64) int {
	for class, bound := range classUpperBounds {
		if workMillis < bound {
			return class
		}
	}
	return len(classUpperBounds)
}

// Matrix is a confusion matrix of predicted classes. It counts the statements whose template had had exactly After answers on
// their group of tables. Count has a row for each true class and a column for each predicted one. Its last column counts the
// statements without a prediction.
type Matrix struct {
	After int       `json:"answers"`
	Count [3][4]int `json:"true_given"`
}

// ErrorRates returns the share of predictions that were wrong, and the share of statements without a prediction.
func (m *Matrix) ErrorRates() (errorRate, unclassified float64) {
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
	Seed            int64    `json:"seed"`
	Templates       int      `json:"forms"`
	Statements      int      `json:"statements"`
	Matrices        []Matrix `json:"matrices"`
	RecognizedScans int      `json:"scans_named_at_first_sight"` // templates that read a whole table and were recognized as such
	Scans           int      `json:"scans"`                      // templates that read a whole table
	FalseScans      int      `json:"others_named_scans"`         // templates that were wrongly recognized as reading a whole table
	SplitShapes     int64    `json:"split_by_literal"`           // shapes whose cost was found to depend on a literal
	SkewedTemplates int      `json:"skewed_forms"`               // templates whose cost is many times higher for some literals

	Shifts                 int     `json:"shifts"`                // of a cost, by a factor of three
	DetectedShifts         int     `json:"found_within"`          // shifts that were detected within 20 answers
	FalseAlarms            int64   `json:"false_alarms"`          // shifts that were detected while the cost was steady
	SteadyAnswers          int     `json:"answers_without_shift"` // answers while the cost was steady
	MeanAnswersToDetection float64 `json:"answers_until_found"`   // mean over shifts; maxShiftAnswers for an undetected one
}

// answerCounts are the numbers of answers after which predicted classes are compared with the true ones.
var answerCounts = []int{0, 10, 100, 1000}

const (
	modelBytes     = 64 << 20
	tableRows      = 1e6
	zipfExponent   = 1.05
	zipfOffset     = 20
	literals       = 40  // number of different literals of a template
	bulkLoadRarity = 200 // one in this many drawn bulk loads is run
	nanosPerMilli  = 1e6
)

// templateGroup is a template on one group of tables.
type templateGroup struct{ template, group int }

// measurement runs the statements of a fake planner through a cost model.
type measurement struct {
	result        *Result
	planner       *fake.Planner
	model         *costmodel.Model
	groups        int
	answerCount   map[templateGroup]int
	seenTemplates map[int]bool // by template
}

// Measure runs statements of a fake planner through a cost model, in random order as clients would send them: templates, groups
// and literals are drawn, and bulk loads among the statements make the tables grow. It also measures the detection of shifts.
func Measure(seed int64, templates, groups, statements int) *Result {
	m := &measurement{result: &Result{Seed: seed, Templates: templates, Statements: statements}, planner: fake.NewPlanner(seed, templates),
		groups: groups, answerCount: map[templateGroup]int{}, seenTemplates: map[int]bool{}}
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
	m.result.SplitShapes, m.result.SkewedTemplates = m.model.SplitShapes.Load(), m.planner.SkewedTemplates()
	m.result.measureShifts(seed)
	return m.result
}

// run predicts a statement's cost, draws the true cost, and lets the model observe it.
func (m *measurement) run(key templateGroup, text, id string) {
	template := &m.planner.Templates[key.template]
	sql := []byte(text)
	statement := m.model.Inspect(sql, mysql.TableGroup(sql), 0)
	estimate := m.model.Estimate(&statement)
	if !m.seenTemplates[key.template] {
		m.seenTemplates[key.template] = true
		m.result.countFullScan(template, &estimate)
	}
	m.countPrediction(key, text, &estimate)
	m.answerCount[key]++
	took, memory, _ := m.planner.DrawCost(text, id)
	m.model.Observe(&statement, float64(took)/nanosPerMilli, memory)
	m.planner.RecordCompletion(text)
	if template.Kind == fake.BulkLoad {
		m.model.RecordLoad(key.group)
	}
}

// countPrediction counts the predicted class against the true one, if the template's number of answers on this group is among
// answerCounts.
func (m *measurement) countPrediction(key templateGroup, text string, estimate *costmodel.Estimate) {
	for index, count := range answerCounts {
		// The count of 0 means that the template is new on all groups, not only on this one.
		if m.answerCount[key] != count || count == 0 && !m.isFirstSight(key.template) {
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

// isFirstSight reports whether a template has had no answer on any group.
func (m *measurement) isFirstSight(template int) bool {
	for group := 1; group <= m.groups; group++ {
		if m.answerCount[templateGroup{template, group}] > 0 {
			return false
		}
	}
	return true
}

// countFullScan counts whether the estimate at first sight correctly says if a template reads a whole table.
func (r *Result) countFullScan(template *fake.Template, estimate *costmodel.Estimate) {
	recognized := estimate.FullScan != ""
	switch {
	case template.Kind == fake.FullScan || template.Kind == fake.CrossJoin:
		r.Scans++
		if recognized {
			r.RecognizedScans++
		}
	case template.Kind != fake.BulkLoad && recognized:
		r.FalseScans++
	}
}

// MeasureSeeds adds up the measurements of consecutive seeds, the first of which is seed. A single measurement sees only
// some hundred templates for the first time.
func MeasureSeeds(seed int64, seeds, templates, groups, statements int) *Result {
	sum := Measure(seed, templates, groups, statements)
	for number := 1; number < seeds; number++ {
		one := Measure(seed+int64(number), templates, groups, statements)
		sum.MeanAnswersToDetection = (sum.MeanAnswersToDetection*float64(number) + one.MeanAnswersToDetection) / float64(number+1)
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
	r.RecognizedScans += other.RecognizedScans
	r.Scans += other.Scans
	r.FalseScans += other.FalseScans
	r.SplitShapes += other.SplitShapes
	r.SkewedTemplates += other.SkewedTemplates
	r.Shifts += other.Shifts
	r.DetectedShifts += other.DetectedShifts
	r.FalseAlarms += other.FalseAlarms
	r.SteadyAnswers += other.SteadyAnswers
}

func fillTemplate(text string, group, literal int) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "{group}", strconv.Itoa(group)), "{literal}", "v"+strconv.Itoa(literal))
}
