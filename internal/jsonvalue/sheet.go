// Package jsonvalue reads values by path out of decoded JSON; the first thing amiss is kept until asked for.
package jsonvalue

import (
	"encoding/json"
	"fmt"
)

// Sheet is a JSON value under a name that its errors carry.
type Value struct {
	name string
	root any
	err  error
}

// Parse decodes a JSON object.
func Parse(name string, text []byte) (*Value, error) {
	s := &Value{name: name}
	if err := json.Unmarshal(text, &s.root); err != nil {
		return nil, fmt.Errorf("field %s: expected a JSON object: %v", name, err)
	}
	if _, ok := s.root.(map[string]any); !ok {
		return nil, fmt.Errorf("field %s: expected a JSON object", name)
	}
	return s, nil
}

// Under is the part of a sheet at a path, as a sheet of its own.
func (s *Value) Object(path ...any) *Value {
	v := s.Lookup(path...)
	name := fmt.Sprint(s.name, path)
	if _, ok := v.(map[string]any); !ok {
		s.Fail("an object", path...)
	}
	return &Value{name: name, root: v}
}

// At is the value at a path, nil where there is none.
func (s *Value) Lookup(path ...any) any {
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
func (s *Value) Fail(want string, path ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("field %s%v: expected %s", s.name, path, want)
	}
}

// Err is the first thing that was amiss.
func (s *Value) Err() error { return s.err }

// get is the value at a path as a T, and the zero T where there is none.
func get[T any](s *Value, want string, path []any) T {
	v := s.Lookup(path...)
	t, ok := v.(T)
	if v != nil && !ok {
		s.Fail(want, path...)
	}
	return t
}

// Num is a number, 0 where there is none.
func (s *Value) Float(path ...any) float64 { return get[float64](s, "a number", path) }

// Flag is true or false, false where there is none.
func (s *Value) Bool(path ...any) bool { return get[bool](s, "true or false", path) }

// Text is a text, empty where there is none.
func (s *Value) Text(path ...any) string { return get[string](s, "a text", path) }

// List is a list, empty where there is none.
func (s *Value) List(path ...any) []any { return get[[]any](s, "a list", path) }

// Needed is a text that must be there.
func (s *Value) RequireText(path ...any) string {
	t := s.Text(path...)
	if t == "" {
		s.Fail("a text", path...)
	}
	return t
}

// each reads the entries of a list one by one.
func each[T any](s *Value, read func(path ...any) T, path []any) (out []T) {
	for i := range s.List(path...) {
		out = append(out, read(append(path[:len(path):len(path)], i)...))
	}
	return out
}

// Nums is a list of numbers.
func (s *Value) Floats(path ...any) []float64 { return each(s, s.Float, path) }

// Texts is a list of texts.
func (s *Value) Texts(path ...any) []string { return each(s, s.Text, path) }
