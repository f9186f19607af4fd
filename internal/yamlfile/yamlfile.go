// Package yamlfile reads a YAML file into a struct, strictly: unknown keys, keys that stand twice and values of a wrong
// type are faults, and all faults of a file are told, each with file, line, column and key. It must never set a default
// or judge what a value means: what the struct holds before stays where the file is silent, and whoever reads the file
// adds its own faults by Doc.Fault.
package yamlfile

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	File      string
	Line, Col int // 0: the fault has no place
	Key       string
	Says      string
}

// Error words the fault so that editors find the place.
func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Col)
	}
	if f.Key != "" {
		return fmt.Sprintf("%s: %s: %s", at, f.Key, f.Says)
	}
	return fmt.Sprintf("%s: %s", at, f.Says)
}

// Faults is all that is wrong with a file.
type Faults []Fault

// Error has a line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Doc is a file that was read, with the places of its keys.
type Doc struct {
	path   string
	places map[string]place
	wrongs map[string]bool // keys whose values could not be read: one fault is enough for each
	faults Faults
}

type place struct{ line, col int }

const (
	mostBytes    = 16 << 20
	mostElements = 1 << 17 // of one list
	mostDepth    = 32
)

// Decode reads a text into what to points at. Fields are matched by their yaml tag; those without one are left alone.
// Times are written like 1.5s. The faults found so far are kept in the Doc: see Err.
func Decode(path string, text []byte, to any) *Doc {
	d := &Doc{path: path, places: map[string]place{}, wrongs: map[string]bool{}}
	if len(text) > mostBytes {
		d.faults = Faults{{File: path, Says: fmt.Sprintf("longer than %d MB", mostBytes>>20)}}
		return d
	}
	tree, err := parser.ParseBytes(text, 0)
	switch {
	case err != nil:
		d.faults = Faults{syntax(path, err)}
		return d
	case len(tree.Docs) > 1:
		d.faults = Faults{{File: path, Says: "holds more than one document"}}
		return d
	}
	for _, doc := range tree.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.NullType && doc.Body.Type() != ast.CommentType {
			d.value("", doc.Body, reflect.ValueOf(to).Elem(), 0)
		}
	}
	return d
}

// Err is all faults, in the order of their places, or nil.
func (d *Doc) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
	return d.faults
}

// Has tells whether the file states a key.
func (d *Doc) Has(key string) bool { _, has := d.places[key]; return has }

// Fault adds a fault at a key's place, or at that of the nearest section that the file has.
func (d *Doc) Fault(key, format string, args ...any) {
	if d.wrongs[key] {
		return
	}
	at, section := d.places[key], key
	for at == (place{}) {
		i := strings.LastIndexAny(section, ".[")
		if i < 0 {
			break
		}
		section = section[:i]
		at = d.places[section]
	}
	d.faults = append(d.faults, Fault{d.path, at.line, at.col, key, fmt.Sprintf(format, args...)})
}

func placeOf(n ast.Node) place {
	if t := n.GetToken(); t != nil && t.Position != nil {
		return place{t.Position.Line, t.Position.Column}
	}
	return place{}
}

func (d *Doc) wrong(key string, n ast.Node, says string) {
	d.places[key] = placeOf(n)
	d.Fault(key, "%s", says)
	d.wrongs[key] = true
}

var durationType = reflect.TypeFor[time.Duration]()

// value reads a node into a place of its type.
func (d *Doc) value(key string, n ast.Node, to reflect.Value, depth int) {
	if tag, ok := n.(*ast.TagNode); ok {
		d.wrong(key, tag, "tags are not used here")
		return
	}
	if depth > mostDepth {
		d.wrong(key, n, "lies too deep")
		return
	}
	if to.Type() == durationType {
		d.duration(key, n, to)
		return
	}
	switch to.Kind() {
	case reflect.Struct:
		d.structure(key, n, to, depth)
	case reflect.Slice:
		d.list(key, n, to, depth)
	case reflect.String:
		if s, ok := plain(n); ok {
			to.SetString(s)
		} else {
			d.wrong(key, n, "must be one value")
		}
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			to.SetBool(b.Value)
		} else {
			d.wrong(key, n, "must be true or false")
		}
	case reflect.Int, reflect.Int64:
		i, ok := n.(*ast.IntegerNode)
		if !ok {
			d.wrong(key, n, "must be a whole number")
			return
		}
		x, err := strconv.ParseInt(i.GetToken().Value, 0, 64)
		if err != nil {
			d.wrong(key, n, "is out of range")
			return
		}
		to.SetInt(x)
	case reflect.Float64:
		s, ok := plain(n)
		x, err := strconv.ParseFloat(s, 64)
		if _, quoted := n.(*ast.StringNode); !ok || err != nil || quoted || x != x || x > 1e15 || x < -1e15 {
			d.wrong(key, n, "must be a number")
			return
		}
		to.SetFloat(x)
	default:
		panic("yamlfile: a field of type " + to.Type().String())
	}
}

func (d *Doc) duration(key string, n ast.Node, to reflect.Value) {
	s, ok := plain(n)
	x, err := time.ParseDuration(s)
	if !ok || err != nil {
		d.wrong(key, n, fmt.Sprintf("%q is no length of time, such as 500ms or 2s", s))
		return
	}
	to.SetInt(int64(x))
}

func (d *Doc) list(key string, n ast.Node, to reflect.Value, depth int) {
	if n.Type() == ast.NullType {
		return
	}
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		d.wrong(key, n, "must be a list")
		return
	}
	if len(list.Values) > mostElements {
		d.wrong(key, n, fmt.Sprintf("holds more than %d", mostElements))
		return
	}
	if len(list.Values) == 0 {
		to.SetZero()
		return
	}
	all := reflect.MakeSlice(to.Type(), len(list.Values), len(list.Values))
	for i, v := range list.Values {
		one := fmt.Sprintf("%s[%d]", key, i)
		d.places[one] = placeOf(v)
		d.value(one, v, all.Index(i), depth+1)
	}
	to.Set(all)
}

func (d *Doc) structure(key string, n ast.Node, to reflect.Value, depth int) {
	var pairs []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	case *ast.NullNode: // a section with nothing in it
		return
	default:
		d.wrong(key, n, "must hold keys and values")
		return
	}
	for _, pair := range pairs {
		name := pair.Key.String()
		inner := name
		if key != "" {
			inner = key + "." + name
		}
		_, twice := d.places[inner]
		d.places[inner] = placeOf(pair.Key)
		field, known := fieldOf(to, name)
		switch {
		case twice:
			d.Fault(inner, "stands twice")
		case known:
			d.value(inner, pair.Value, field, depth+1)
		default:
			d.Fault(inner, "unknown key; there %s", tags(to))
		}
	}
}

// fieldOf is the field with a tag.
func fieldOf(to reflect.Value, name string) (reflect.Value, bool) {
	for i := range to.NumField() {
		if tag := to.Type().Field(i).Tag.Get("yaml"); tag != "" && tag == name {
			return to.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// tags words the keys that a section may have.
func tags(to reflect.Value) string {
	var names []string
	for i := range to.NumField() {
		if tag := to.Type().Field(i).Tag.Get("yaml"); tag != "" {
			names = append(names, tag)
		}
	}
	return "are " + strings.Join(names, ", ")
}

// plain is the text of a scalar.
func plain(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.NullNode:
		return "", true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	return "", false
}

var position = regexp.MustCompile(`^\[(\d+):(\d+)\] ([^\n]*)`)

// syntax makes a fault of what the parser says.
func syntax(path string, err error) Fault {
	says := err.Error()
	if m := position.FindStringSubmatch(says); m != nil {
		line, _ := strconv.Atoi(m[1])
		col, _ := strconv.Atoi(m[2])
		return Fault{File: path, Line: line, Col: col, Says: m[3]}
	}
	first, _, _ := strings.Cut(says, "\n")
	return Fault{File: path, Says: first}
}
