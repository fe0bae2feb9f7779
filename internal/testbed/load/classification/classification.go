// Package classification measures how well statements are classed by what they will cost, against fakes whose true cost is
// known: at first sight, and after so many answers; and how soon a cost that moved is found. Its figures are simulated: no
// clock and no socket, the fakes' costs are drawn.
package classification

import (
	"fmt"
	"io"
	"math"
	"math/rand"
	"strconv"
	"strings"
	"text/tabwriter"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/testbed/fake"
)

// The classes that are told apart, by the ms under which the first and second stay: look-ups, reports, and what an
// engine feels.
var (
	bounds = []float64{45, 500}
	names  = []string{"short", "middle", "heavy"}
)

func classOf(ms float64) int {
	for i, b := range bounds {
		if ms < b {
			return i
		}
	}
	return len(bounds)
}

// Matrix counts classes given against true ones, for statements whose shape and group of tables had so many answers. The
// last column is of those for which nothing was known.
type Matrix struct {
	After int       `json:"answers"`
	Count [3][4]int `json:"true_given"`
}

// Wrong is the share of classes given that were wrong, and the share of statements that got none.
func (m *Matrix) Wrong() (wrong, none float64) {
	all, bad, unknown := 0, 0, 0
	for t, row := range m.Count {
		for g, n := range row {
			switch all += n; {
			case g == len(names):
				unknown += n
			case g != t:
				bad += n
			}
		}
	}
	return float64(bad) / math.Max(1, float64(all-unknown)), float64(unknown) / math.Max(1, float64(all))
}

// Result is what came of a measurement.
type Result struct {
	Seed       int64    `json:"seed"`
	Templates  int      `json:"forms"`
	Statements int      `json:"statements"`
	Matrices   []Matrix `json:"matrices"`
	Named      int      `json:"scans_named_at_first_sight"` // forms that read a whole table
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

// after are the numbers of answers at which classes are looked at.
var after = []int{0, 10, 100, 1000}

// Measure plays statements of a planner through a book, in the order that clients would send them: forms, groups and
// literals drawn, loads among them that grow tables.
func Measure(seed int64, forms, groups, statements int) *Result {
	p := fake.NewPlanner(seed, forms)
	book := costmodel.NewModel(64<<20, 1, func(t *costmodel.Table) (rows float64, keys []string, ok bool) {
		return 1e6, fake.Keys, strings.HasPrefix(t.Schema, "actas_")
	})
	r := &Result{Seed: seed, Templates: forms, Statements: statements}
	for _, n := range after {
		r.Matrices = append(r.Matrices, Matrix{After: n})
	}
	chance := rand.New(rand.NewSource(seed))
	zipf := rand.NewZipf(chance, 1.05, 20, uint64(forms-1))
	type key struct{ form, group int }
	answers := map[key]int{}
	seen := map[int]bool{}
	for n := range statements {
		form := int(zipf.Uint64())
		f := &p.Templates[form]
		if f.Kind == fake.BulkLoad && n%200 != 0 { // loads are rare
			continue
		}
		group := 1 + chance.Intn(groups)
		text := fill(f.Text, group, chance.Intn(40))
		sql := []byte(text)
		s := book.Inspect(sql, mysql.TableGroup(sql), 0)
		e := book.Estimate(&s)
		if !seen[form] {
			seen[form] = true
			r.first(f, &e)
		}
		k := key{form, group}
		for i, want := range after {
			// At first sight that of the shape counts, on whatever group it comes first.
			if answers[k] == want && (want > 0 || firstOf(answers, form, groups, func(f, g int) key { return key{f, g} })) {
				usual, _, _ := p.TypicalCost(text)
				given := len(names)
				if e.Known {
					given = classOf(e.WorkMillis)
				}
				r.Matrices[i].Count[classOf(usual)][given]++
			}
		}
		answers[k]++
		took, memory, _ := p.Run(text, strconv.Itoa(n)+"-"+strconv.FormatInt(seed, 10))
		book.Observe(&s, float64(took)/1e6, memory)
		if p.RecordRun(text); f.Kind == fake.BulkLoad {
			book.RecordLoad(group)
		}
	}
	r.Split, r.Skewed = book.SplitShapes.Load(), p.Skewed()
	r.shifts(seed)
	return r
}

// Several adds up the measurements of so many seeds from one on: a single one has some hundred first sights.
func Several(seed int64, seeds, forms, groups, statements int) *Result {
	all := Measure(seed, forms, groups, statements)
	for n := 1; n < seeds; n++ {
		one := Measure(seed+int64(n), forms, groups, statements)
		for i := range all.Matrices {
			for t := range all.Matrices[i].Count {
				for g := range all.Matrices[i].Count[t] {
					all.Matrices[i].Count[t][g] += one.Matrices[i].Count[t][g]
				}
			}
		}
		all.Mean = (all.Mean*float64(n) + one.Mean) / float64(n+1)
		for _, v := range []struct{ to, from *int }{{&all.Templates, &one.Templates}, {&all.Statements, &one.Statements}, {&all.Named, &one.Named},
			{&all.Scans, &one.Scans}, {&all.Mistaken, &one.Mistaken}, {&all.Skewed, &one.Skewed}, {&all.Shifts, &one.Shifts},
			{&all.Found, &one.Found}, {&all.Answers, &one.Answers}} {
			*v.to += *v.from
		}
		all.Split += one.Split
		all.Alarms += one.Alarms
	}
	return all
}

// firstOf tells whether a form was not seen on any group.
func firstOf[K comparable](answers map[K]int, form, groups int, k func(form, group int) K) bool {
	for g := 1; g <= groups; g++ {
		if answers[k(form, g)] > 0 {
			return false
		}
	}
	return true
}

func (r *Result) first(f *fake.Template, e *costmodel.Estimate) {
	switch scan := f.Kind == fake.FullScan || f.Kind == fake.CrossJoin; {
	case scan:
		if r.Scans++; e.FullScan != "" {
			r.Named++
		}
	case f.Kind != fake.BulkLoad && e.FullScan != "":
		r.Mistaken++
	}
}

func fill(text string, group, literal int) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "{group}", strconv.Itoa(group)), "{literal}", fmt.Sprintf("v%d", literal))
}

// shifts has costs move by a factor of three after some hundred answers, with bad plans and scatter as planners have.
func (r *Result) shifts(seed int64) {
	const runs, steady, within, until = 200, 500, 20, 100
	const scatter, badShare = 0.5, 0.1
	sum := 0
	for n := range runs {
		chance := rand.New(rand.NewSource(seed*1000 + int64(n)))
		book := costmodel.NewModel(1<<20, 1, nil)
		s := book.Inspect([]byte("SELECT a FROM t_1.m WHERE b = 1"), 1, 0)
		draw := func(mean float64) {
			v := mean * math.Exp(scatter*chance.NormFloat64())
			if chance.Float64() < badShare {
				v *= 10 + 10*chance.Float64()
			}
			book.Observe(&s, v, 0)
		}
		for range steady {
			draw(100)
		}
		r.Answers += steady
		before := book.Shifts.Load()
		r.Alarms += before
		book.RecordLoad(1)
		r.Shifts++
		k := 0
		for ; k < until && book.Shifts.Load() == before; k++ {
			draw(300)
		}
		if sum += k; k <= within {
			r.Found++
		}
	}
	r.Mean = float64(sum) / runs
}

// The bounds of a good measurement.
const (
	mostWrongFirst = 0.15
	mostWrongLater = 0.03 // after a hundred answers
	leastFound     = 0.9  // of shifts, within twenty answers
	mostAlarms     = 1e-4 // an answer
)

// Verdict tells whether the bounds are kept, and by which it is not.
func (r *Result) Verdict() (good bool, text []string) {
	good = true
	line := func(ok bool, format string, args ...any) {
		word := "good"
		if !ok {
			word, good = "BAD ", false
		}
		text = append(text, word+"   "+fmt.Sprintf(format, args...))
	}
	for i := range r.Matrices {
		m := &r.Matrices[i]
		most := mostWrongLater
		if m.After < 100 {
			most = mostWrongFirst
		}
		wrong, none := m.Wrong()
		line(wrong < most, "classes after %d answers: %.1f%% wrong, the bound is %.0f%%; %.1f%% were given none", m.After, 100*wrong, 100*most, 100*none)
	}
	line(r.Named == r.Scans, "whole tables named at first sight: %d of %d; %d others taken for such", r.Named, r.Scans, r.Mistaken)
	line(float64(r.Found) >= leastFound*float64(r.Shifts), "shifts of factor three found within 20 answers: %d of %d, on average after %.1f", r.Found, r.Shifts, r.Mean)
	line(float64(r.Alarms) < mostAlarms*float64(r.Answers), "false alarms: %d in %d answers", r.Alarms, r.Answers)
	return good, text
}

// Text writes a result as tables.
func (r *Result) Text(out io.Writer) {
	fmt.Fprintf(out, "seeds from %d on, %d forms, %d statements (simulated); %d forms skewed, on %d groups of tables split by their literal\n", r.Seed, r.Templates, r.Statements, r.Skewed, r.Split)
	for i := range r.Matrices {
		m := &r.Matrices[i]
		fmt.Fprintf(out, "\nafter %d answers, true class by class given\n", m.After)
		w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(w, "\t"+strings.Join(names, "\t")+"\tnone\t")
		for t, row := range m.Count {
			fmt.Fprint(w, names[t])
			for _, n := range row {
				fmt.Fprintf(w, "\t%d", n)
			}
			fmt.Fprintln(w, "\t")
		}
		w.Flush()
	}
	fmt.Fprintln(out)
}
