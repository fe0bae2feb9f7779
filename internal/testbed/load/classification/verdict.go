package classification

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// The bounds of a good measurement, as fractions.
const (
	maxEarlyErrorRate = 0.15
	maxLateErrorRate  = 0.03 // after 100 answers or more
	minDetectionRate  = 0.9  // of shifts, within detectionBound answers
	maxFalseAlarmRate = 1e-4 // for each answer while the cost is steady
)

// Verdict reports whether the bounds are met, with a line of text for each bound.
func (r *Result) Verdict() (good bool, lines []string) {
	good = true
	addLine := func(ok bool, format string, args ...any) {
		verdict := "good"
		if !ok {
			verdict, good = "BAD ", false
		}
		lines = append(lines, verdict+"   "+fmt.Sprintf(format, args...))
	}
	for i := range r.Matrices {
		matrix := &r.Matrices[i]
		bound := maxLateErrorRate
		if matrix.After < 100 {
			bound = maxEarlyErrorRate
		}
		errorRate, unclassified := matrix.ErrorRates()
		addLine(errorRate < bound, "classes after %d answers: %.1f%% wrong, the bound is %.0f%%; %.1f%% were given none", matrix.After, 100*errorRate, 100*bound, 100*unclassified)
	}
	addLine(r.RecognizedScans == r.Scans, "whole tables named at first sight: %d of %d; %d others taken for such", r.RecognizedScans, r.Scans, r.FalseScans)
	addLine(float64(r.DetectedShifts) >= minDetectionRate*float64(r.Shifts), "shifts of factor three found within 20 answers: %d of %d, on average after %.1f", r.DetectedShifts, r.Shifts, r.MeanAnswersToDetection)
	addLine(float64(r.FalseAlarms) < maxFalseAlarmRate*float64(r.SteadyAnswers), "false alarms: %d in %d answers", r.FalseAlarms, r.SteadyAnswers)
	return good, lines
}

// Text writes the result as tables.
func (r *Result) Text(out io.Writer) {
	fmt.Fprintf(out, "seeds from %d on, %d forms, %d statements (simulated); %d forms skewed, on %d groups of tables split by their literal\n", r.Seed, r.Templates, r.Statements, r.SkewedTemplates, r.SplitShapes)
	for i := range r.Matrices {
		matrix := &r.Matrices[i]
		fmt.Fprintf(out, "\nafter %d answers, true class by class given\n", matrix.After)
		table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(table, "\t"+strings.Join(classNames, "\t")+"\tnone\t")
		for trueClass, row := range matrix.Count {
			fmt.Fprint(table, classNames[trueClass])
			for _, count := range row {
				fmt.Fprintf(table, "\t%d", count)
			}
			fmt.Fprintln(table, "\t")
		}
		_ = table.Flush() // a write error is ignored, as on the lines around this one
	}
	fmt.Fprintln(out)
}
