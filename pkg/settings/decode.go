package settings

import (
	"errors"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// decoder decodes the syntax tree of one file into a Settings value.
type decoder struct {
	file string
	// lines holds the line of each stated field by its path, for checks that
	// run after decoding.
	lines map[string]int
}

func (d *decoder) errorAt(line int, field, message, accepted string) *ValidationError {
	return &ValidationError{File: d.file, Line: line, Field: field, Message: message, Accepted: accepted}
}

// parse returns the top mapping of the file.
func (d *decoder) parse(text []byte) (ast.Node, *ValidationError) {
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		line, message := 1, err.Error()
		var y yaml.Error
		if errors.As(err, &y) {
			message = y.GetMessage()
			if y.GetToken() != nil {
				line = y.GetToken().Position.Line
			}
		}
		return nil, d.errorAt(line, "", "not valid YAML: "+message, "")
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		return nil, d.errorAt(1, "", "file must hold exactly one YAML document", acceptedKind(reflect.TypeFor[Settings](), ""))
	}
	return f.Docs[0].Body, nil
}

// decodeValue decodes n into v according to the type of v and the tags of its
// field.
func (d *decoder) decodeValue(n ast.Node, path string, v reflect.Value, tag reflect.StructTag) *ValidationError {
	d.lines[path] = lineOf(n)
	switch v.Kind() {
	case reflect.Struct:
		return d.decodeMapping(n, path, v)
	default:
		return d.decodeScalar(n, path, v, tag)
	}
}

func (d *decoder) decodeMapping(n ast.Node, path string, v reflect.Value) *ValidationError {
	if n.Type() == ast.NullType && path != "" { // a section without fields
		return d.completeMapping(lineOf(n), path, v, nil)
	}
	entries, ok := entriesOf(n)
	if !ok {
		return d.errorAt(lineOf(n), path, "wrong type", accepted(v.Type(), ""))
	}
	names := fieldNames(v.Type())
	stated := make(map[string]bool, len(names))
	for _, e := range entries {
		key := e.Key.String()
		i := slices.Index(names, key)
		if i < 0 {
			return d.errorAt(lineOf(e.Key), join(path, key), "unknown field", strings.Join(names, ", "))
		}
		stated[key] = true
		if f := d.decodeValue(e.Value, join(path, key), v.Field(i), v.Type().Field(i).Tag); f != nil {
			return f
		}
	}
	return d.completeMapping(lineOf(n), path, v, stated)
}

// completeMapping sets the defaults of the fields that are not stated. It
// returns an error if a required field is missing.
func (d *decoder) completeMapping(line int, path string, v reflect.Value, stated map[string]bool) *ValidationError {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := field.Tag.Get("yaml")
		if stated[name] {
			continue
		}
		if field.Tag.Get("required") == "yes" {
			return d.errorAt(line, join(path, name), "missing", accepted(field.Type, field.Tag))
		}
		if f := d.setDefault(line, join(path, name), v.Field(i), field.Tag); f != nil {
			return f
		}
	}
	return nil
}

func (d *decoder) setDefault(line int, path string, v reflect.Value, tag reflect.StructTag) *ValidationError {
	if v.Kind() == reflect.Struct {
		return d.completeMapping(line, path, v, nil)
	}
	text, ok := tag.Lookup("default")
	if !ok {
		return nil
	}
	if err := assign(v, text, tag); err != nil {
		return d.errorAt(line, path, err.Error(), accepted(v.Type(), tag))
	}
	return nil
}

// setDefaults sets the defaults of the fields of v, including those of nested
// structs.
func (d *decoder) setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		if v.Field(i).Kind() == reflect.Struct {
			d.setDefaults(v.Field(i))
		} else if f := d.setDefault(0, "", v.Field(i), v.Type().Field(i).Tag); f != nil {
			panic("default in a struct tag of Settings: " + f.Error())
		}
	}
}

func (d *decoder) decodeScalar(n ast.Node, path string, v reflect.Value, tag reflect.StructTag) *ValidationError {
	s, ok := n.(ast.ScalarNode)
	if !ok || n.Type() == ast.NullType || n.Type() == ast.BoolType {
		return d.errorAt(lineOf(n), path, "wrong type", accepted(v.Type(), tag))
	}
	text := s.GetToken().Value
	if literal, ok := n.(*ast.StringNode); ok {
		text = literal.Value
	}
	if err := assign(v, text, tag); err != nil {
		return d.errorAt(lineOf(n), path, err.Error()+" "+strconv.Quote(text), accepted(v.Type(), tag))
	}
	return nil
}

func entriesOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	default:
		return nil, false
	}
}

// lineOf returns the line of n's first token.
func lineOf(n ast.Node) int {
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		n = m.Values[0]
	}
	if m, ok := n.(*ast.MappingValueNode); ok {
		return m.Key.GetToken().Position.Line
	}
	return n.GetToken().Position.Line
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
