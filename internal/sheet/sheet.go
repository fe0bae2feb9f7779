// Package sheet reads values by path out of decoded JSON; the first thing amiss is kept until asked for.
package sheet

import (
	"encoding/json"
	"fmt"
)

// Sheet is a JSON value under a name that its errors carry.
type Sheet struct {
	name string
	root any
	err  error
}

// Parse decodes a JSON object.
func Parse(name string, text []byte) (*Sheet, error) {
	s := &Sheet{name: name}
	if err := json.Unmarshal(text, &s.root); err != nil {
		return nil, fmt.Errorf("field %s: expected a JSON object: %v", name, err)
	}
	if _, ok := s.root.(map[string]any); !ok {
		return nil, fmt.Errorf("field %s: expected a JSON object", name)
	}
	return s, nil
}

// Under is the part of a sheet at a path, as a sheet of its own.
func (s *Sheet) Under(path ...any) *Sheet {
	v := s.At(path...)
	name := fmt.Sprint(s.name, path)
	if _, ok := v.(map[string]any); !ok {
		s.Fail("an object", path...)
	}
	return &Sheet{name: name, root: v}
}

// At is the value at a path, nil where there is none.
func (s *Sheet) At(path ...any) any {
	v := s.root
	for _, p := range path {
		switch p := p.(type) {
		case string:
			m, _ := v.(map[string]any)
			v = m[p]
		case int:
			a, _ := v.([]any)
			if p >= len(a) {
				return nil
			}
			v = a[p]
		}
	}
	return v
}

// Fail notes what was expected at a path, unless something was amiss before.
func (s *Sheet) Fail(want string, path ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("field %s%v: expected %s", s.name, path, want)
	}
}

// Err is the first thing that was amiss.
func (s *Sheet) Err() error { return s.err }

// Num is a number, 0 where there is none.
func (s *Sheet) Num(path ...any) float64 {
	v := s.At(path...)
	f, ok := v.(float64)
	if v != nil && !ok {
		s.Fail("a number", path...)
	}
	return f
}

// Flag is true or false, false where there is none.
func (s *Sheet) Flag(path ...any) bool {
	v := s.At(path...)
	b, ok := v.(bool)
	if v != nil && !ok {
		s.Fail("true or false", path...)
	}
	return b
}

// Text is a text, empty where there is none.
func (s *Sheet) Text(path ...any) string {
	v := s.At(path...)
	t, ok := v.(string)
	if v != nil && !ok {
		s.Fail("a text", path...)
	}
	return t
}

// Needed is a text that must be there.
func (s *Sheet) Needed(path ...any) string {
	t := s.Text(path...)
	if t == "" {
		s.Fail("a text", path...)
	}
	return t
}

// List is a list, empty where there is none.
func (s *Sheet) List(path ...any) []any {
	v := s.At(path...)
	a, ok := v.([]any)
	if v != nil && !ok {
		s.Fail("a list", path...)
	}
	return a
}

// Nums is a list of numbers.
func (s *Sheet) Nums(path ...any) []float64 {
	var out []float64
	for i := range s.List(path...) {
		out = append(out, s.Num(append(path[:len(path):len(path)], i)...))
	}
	return out
}

// Texts is a list of texts.
func (s *Sheet) Texts(path ...any) []string {
	var out []string
	for i := range s.List(path...) {
		out = append(out, s.Text(append(path[:len(path):len(path)], i)...))
	}
	return out
}
