package classification

import "testing"

// A small measurement. Its seeds differ from those with which the constants were chosen. The full measurement is
// magpiebank-testbed experiment run statements.
func TestMeasure(t *testing.T) {
	result := MeasureSeeds(201, 3, 100, 2, 40000)
	good, lines := result.Verdict()
	for _, line := range lines {
		t.Log(line)
	}
	if !good {
		t.Error("the measurement misses a bound")
	}
	worse := *result
	worse.Matrices = append([]Matrix(nil), result.Matrices...)
	worse.Matrices[2].Count[0][2] += 60
	if good, _ := worse.Verdict(); good {
		t.Error("60 further look-ups predicted as heavy must miss a bound, but the verdict is good")
	}
}
