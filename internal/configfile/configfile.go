// Package configfile reads the files that operators write: Jsonnet, with units in texts ("250ms", "64MB"). Everything amiss
// is named as FILE:LINE: FIELD: expected WHAT, found WHAT; unknown fields get the nearest known name.
package configfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/google/go-jsonnet"
)

// File is one file that was evaluated.
type File struct {
	name  string
	lines *places
	errs  []problem
}

type problem struct {
	line int
	text string
}

// Object is an object in a file; what it asks for becomes the names that it knows.
type Object struct {
	file  *File
	path  []any
	value map[string]any
	known map[string]bool
	kids  []*Object
}

// Read evaluates a file; imports are looked for beside it.
func Read(path string) (*File, *Object, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	return Parse(path, string(text))
}

// Parse evaluates a text that stands for a file of that name.
func Parse(name, text string) (*File, *Object, error) {
	vm := jsonnet.MakeVM()
	vm.Importer(&jsonnet.FileImporter{JPaths: []string{filepath.Dir(name)}})
	vm.MaxStack = mostDepth
	out, err := vm.EvaluateAnonymousSnippet(name, text)
	if err != nil {
		return nil, nil, errors.New(firstLine(err.Error()))
	}
	var root any
	if err := json.Unmarshal([]byte(out), &root); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", name, err)
	}
	f := &File{name: name, lines: find(name, text)}
	object, ok := root.(map[string]any)
	if !ok {
		return nil, nil, fmt.Errorf("%s:1: expected an object, found %s", name, kind(root))
	}
	return f, f.object(nil, object), nil
}

// ParseJSON reads a text with nothing to evaluate, and no lines to name: errors begin with the field.
func ParseJSON(text []byte) (*Object, error) {
	var root any
	if err := json.Unmarshal(text, &root); err != nil {
		return nil, err
	}
	object, ok := root.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("expected an object, found %s", kind(root))
	}
	return (&File{lines: &places{}}).object(nil, object), nil
}

// LocateError puts the file's name and line before an error that begins with the path of a field, as in "load.parts[1].rate: expected ...".
func (f *File) LocateError(text string) string {
	path, _, _ := strings.Cut(text, ": ")
	return fmt.Sprintf("%s:%d: %s", f.name, f.lines.line(steps(nil, path)), text)
}

// steps are those of a path in words.
func steps(from []any, path string) []any {
	out := slices.Clone(from)
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		if n, err := strconv.Atoi(step); err == nil {
			out = append(out, n)
		} else {
			out = append(out, step)
		}
	}
	return out
}

// mostDepth ends a file that calls itself without end; no useful one nests deeper.
const mostDepth = 200

// firstLine is where an error of the evaluator says what and where; the rest is the trace of calls.
func firstLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if len(lines) > 1 && strings.HasPrefix(lines[0], "RUNTIME ERROR") {
		return strings.TrimSpace(strings.Fields(lines[1])[0]) + ": " + strings.TrimPrefix(lines[0], "RUNTIME ERROR: ")
	}
	return lines[0]
}

func (f *File) object(path []any, value map[string]any) *Object {
	return &Object{file: f, path: path, value: value, known: map[string]bool{}}
}

// Validate is all that was amiss, in the order of lines; it looks for unknown fields of the objects that were asked.
func (o *Object) Validate() error {
	f := o.file
	o.unknown()
	sort.SliceStable(f.errs, func(i, j int) bool { return f.errs[i].line < f.errs[j].line })
	var errs []error
	for _, p := range f.errs {
		errs = append(errs, errors.New(p.text))
	}
	return errors.Join(errs...)
}

func (o *Object) unknown() {
	var names []string
	for name := range o.value {
		if !o.known[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		want := "no such field"
		if near := nearest(name, o.known); near != "" {
			want = fmt.Sprintf("%q (the nearest known name)", near)
		}
		o.file.fail(o.at(name), want, strconv.Quote(name))
	}
	for _, kid := range o.kids {
		kid.unknown()
	}
}

func (o *Object) at(name string) []any { return append(o.path[:len(o.path):len(o.path)], name) }

func (f *File) fail(path []any, want, found string) {
	line := f.lines.line(path)
	f.errs = append(f.errs, problem{line, fmt.Sprintf("%s%s: expected %s, found %s", f.before(line), spell(path), want, found)})
}

// before is the place that an error begins with; a text that is no file has none.
func (f *File) before(line int) string {
	if f.name == "" {
		return ""
	}
	return fmt.Sprintf("%s:%d: ", f.name, line)
}

// RawValue is a field's value as it is.
func (o *Object) RawValue(name string) any {
	o.known[name] = true
	return o.value[name]
}

// Reject notes what was expected of a field, for what only the caller can tell.
func (o *Object) Reject(name, want string) { o.file.fail(o.at(name), want, show(o.value[name])) }

// RejectError notes what another check found, whose error begins with the path of the field, as in "load.parts[1].rate:
// expected ...".
func (o *Object) RejectError(err error) {
	path, text, _ := strings.Cut(err.Error(), ": ")
	at := steps(o.path, path)
	line := o.file.lines.line(at)
	o.file.errs = append(o.file.errs, problem{line, o.file.before(line) + spell(at) + ": " + text})
}

func spell(path []any) string {
	var b strings.Builder
	for i, p := range path {
		switch p := p.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", p)
		case string:
			if i > 0 {
				b.WriteByte('.')
			}
			b.WriteString(p)
		}
	}
	return b.String()
}

func show(v any) string {
	b, err := json.Marshal(v)
	if err != nil || len(b) > 60 {
		return kind(v)
	}
	if v == nil {
		return "nothing"
	}
	return string(b)
}

func kind(v any) string {
	switch v.(type) {
	case nil:
		return "nothing"
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a text"
	case float64:
		return "a number"
	}
	return "true or false"
}

// HasField tells whether a field is there.
func (o *Object) HasField(name string) bool {
	o.known[name] = true
	return o.value[name] != nil
}

// get is a field's value where it is there, and whether it is.
func get[T any](o *Object, name, want string) (v T, ok bool) {
	o.known[name] = true
	raw := o.value[name]
	if raw == nil {
		return v, false
	}
	if v, ok = raw.(T); !ok {
		o.file.fail(o.at(name), want, show(raw))
	}
	return v, ok
}

// Text is a text, or what stands for it where there is none.
func (o *Object) Text(name, usual string) string {
	if v, ok := get[string](o, name, "a text"); ok {
		return v
	}
	return usual
}

// RequiredText is a text that must be there.
func (o *Object) RequiredText(name string) string {
	v := o.Text(name, "")
	if v == "" && o.value[name] == nil {
		o.file.fail(o.at(name), "a text", "nothing")
	}
	return v
}

// OneOf is one of some words.
func (o *Object) OneOf(name, usual string, words ...string) string {
	v := o.Text(name, usual)
	if !slices.Contains(words, v) {
		known := map[string]bool{}
		for _, w := range words {
			known[w] = true
		}
		want := "one of " + strings.Join(words, ", ")
		if near := nearest(v, known); near != "" {
			want = fmt.Sprintf("%q (the nearest of %s)", near, strings.Join(words, ", "))
		}
		o.file.fail(o.at(name), want, strconv.Quote(v))
	}
	return v
}

// Bool is true or false.
func (o *Object) Bool(name string, usual bool) bool {
	if v, ok := get[bool](o, name, "true or false"); ok {
		return v
	}
	return usual
}

// Number is a number between two bounds.
func (o *Object) Number(name string, usual, least, most float64) float64 {
	v, ok := get[float64](o, name, "a number")
	if !ok {
		return usual
	}
	o.within(name, v, least, most)
	return v
}

func (o *Object) within(name string, v, least, most float64) {
	if !(v >= least && v <= most) {
		o.file.fail(o.at(name), fmt.Sprintf("a number from %g to %g", least, most), show(v))
	}
}

// Int is a whole number between two bounds.
func (o *Object) Int(name string, usual, least, most int) int {
	v := o.Number(name, float64(usual), float64(least), float64(most))
	if v != math.Trunc(v) {
		o.file.fail(o.at(name), "a whole number", show(v))
	}
	return int(v)
}

// Fraction is a number from 0 to 1.
func (o *Object) Fraction(name string, usual float64) float64 { return o.Number(name, usual, 0, 1) }

// Duration is a time with its unit, as in "250ms"; a bare number is refused.
func (o *Object) Duration(name string, usual time.Duration) time.Duration {
	o.known[name] = true
	switch v := o.value[name].(type) {
	case nil:
		return usual
	case string:
		if d, err := time.ParseDuration(v); err == nil && d >= 0 {
			return d
		}
	}
	o.file.fail(o.at(name), `a time with its unit, as in "250ms" or "1m30s"`, show(o.value[name]))
	return usual
}

// The units of sizes; a megabyte is 2^20 bytes, as the platform counts memory.
var sizes = []struct {
	unit  string
	bytes int64
}{{"kB", 1 << 10}, {"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}}

// Size is an amount of memory with its unit, as in "64MB", in bytes; a bare number is refused.
func (o *Object) Size(name string, usual int64) int64 {
	o.known[name] = true
	switch v := o.value[name].(type) {
	case nil:
		return usual
	case string:
		for _, s := range sizes {
			if digits, ok := strings.CutSuffix(v, s.unit); ok {
				if n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64); err == nil && n >= 0 && n*float64(s.bytes) < 1<<60 {
					return int64(n * float64(s.bytes))
				}
				break
			}
		}
	}
	o.file.fail(o.at(name), `a size with its unit, as in "64MB"`, show(o.value[name]))
	return usual
}

// Object is an object, nil where there is none.
func (o *Object) Object(name string) *Object {
	v, ok := get[map[string]any](o, name, "an object")
	if !ok {
		return nil
	}
	kid := o.file.object(o.at(name), v)
	o.kids = append(o.kids, kid)
	return kid
}

// Objects is a list of objects.
func (o *Object) Objects(name string) (out []*Object) {
	list, _ := get[[]any](o, name, "a list of objects")
	for i, raw := range list {
		path := append(o.at(name), i)
		v, ok := raw.(map[string]any)
		if !ok {
			o.file.fail(path, "an object", show(raw))
			continue
		}
		kid := o.file.object(path, v)
		o.kids = append(o.kids, kid)
		out = append(out, kid)
	}
	return out
}

// list reads a list of plain values.
func list[T any](o *Object, name, want string) (out []T) {
	values, _ := get[[]any](o, name, "a list")
	for i, raw := range values {
		v, ok := raw.(T)
		if !ok {
			o.file.fail(append(o.at(name), i), want, show(raw))
			continue
		}
		out = append(out, v)
	}
	return out
}

// Texts is a list of texts.
func (o *Object) Texts(name string) []string { return list[string](o, name, "a text") }

// Numbers is a list of numbers between two bounds.
func (o *Object) Numbers(name string, least, most float64) []float64 {
	out := list[float64](o, name, "a number")
	for i, v := range out {
		if !(v >= least && v <= most) {
			o.file.fail(append(o.at(name), i), fmt.Sprintf("a number from %g to %g", least, most), show(v))
		}
	}
	return out
}

// nearest is the known name that a few slips of the keyboard lead to, empty where none is near.
func nearest(name string, known map[string]bool) (best string) {
	least := max(2, len(name)/3) + 1
	var names []string
	for k := range known {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		if d := distance(strings.ToLower(name), strings.ToLower(k)); d < least {
			least, best = d, k
		}
	}
	return best
}

// distance is how many letters must be put in, taken out or changed.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := last
			if a[i] != b[j] {
				change++
			}
			last = row[j+1]
			row[j+1] = min(change, row[j]+1, last+1)
		}
	}
	return row[len(b)]
}
