package classification

import "testing"

// A small measurement, of statements that no constant was chosen with; the full one is magpiebank-testbed experiment run statements.
func TestMeasure(t *testing.T) {
	result := MeasureSeeds(201, 3, 100, 2, 40000)
	good, lines := result.Verdict()
	for _, line := range lines {
		t.Log(line)
	}
	if !good {
		t.Error("a bound is missed")
	}
	worse := *result
	worse.Matrices = append([]Matrix(nil), result.Matrices...)
	worse.Matrices[2].Count[0][2] += 60
	if good, _ := worse.Verdict(); good {
		t.Error("forty look-ups taken for heavy are called good")
	}
}
