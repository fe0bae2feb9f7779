package jsonvalue

import (
	"encoding/json"
	"errors"
	"testing"
)

func TestErrorsNameTheField(t *testing.T) {
	for name, c := range map[string]struct {
		read func(v *Value)
		want string
	}{
		"a number":                   {func(v *Value) { v.Float("text") }, "field file[text]: expected a number"},
		"a boolean":                  {func(v *Value) { v.Bool("list", 1) }, "field file[list 1]: expected true or false"},
		"a string":                   {func(v *Value) { v.Text("number") }, "field file[number]: expected a text"},
		"a list":                     {func(v *Value) { v.List("object") }, "field file[object]: expected a list"},
		"an entry of a list":         {func(v *Value) { v.Texts("list") }, "field file[list 1]: expected a text"},
		"an object":                  {func(v *Value) { v.Object("list") }, "field file[list]: expected an object"},
		"a string that is not there": {func(v *Value) { v.RequireText("object", "absent") }, "field file[object absent]: expected a text"},
		"the first of several":       {func(v *Value) { v.Float("text"); v.Bool("text") }, "field file[text]: expected a number"},
	} {
		t.Run(name, func(t *testing.T) {
			v := parse(t)
			c.read(v)
			if err := v.Err(); err == nil || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestAbsentValuesAreZero(t *testing.T) {
	v := parse(t)
	if n := v.Float("absent", "deep"); n != 0 {
		t.Errorf("a number: %v", n)
	}
	if v.Bool("list", 7) || v.Text("absent") != "" || v.Texts("absent") != nil || v.Floats("absent") != nil {
		t.Error("an absent value is not zero")
	}
	if v.Err() != nil {
		t.Errorf("an absent value is an error: %v", v.Err())
	}
}

func TestParseRequiresObject(t *testing.T) {
	if _, err := Parse("file", []byte("[]")); err == nil || err.Error() != "field file: expected a JSON object" {
		t.Errorf("a list: %v", err)
	}
	_, err := Parse("file", []byte("{"))
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		t.Errorf("half an object: %v", err)
	}
}

func parse(t *testing.T) *Value {
	t.Helper()
	v, err := Parse("file", []byte(`{"text":"a","number":1,"list":["a",2],"object":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	return v
}
