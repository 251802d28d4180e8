package settings

import (
	"reflect"
	"strings"
)

// Field describes one field of the settings file, for documentation.
type Field struct {
	Path     string // dotted path, for example "listeners.peers"
	Unit     string // unit or kind of the value, for example "duration" or "Mbit/s"
	Default  string // as written in the file; empty if there is none
	Required bool
	Accepted string // accepted values
}

// Fields returns every field that has a value, in the order of the structs.
// Sections, which are fields with fields of their own, are left out.
func Fields() []Field {
	return fieldsOf(reflect.TypeFor[Settings](), "")
}

func fieldsOf(t reflect.Type, prefix string) []Field {
	var all []Field
	for i := range t.NumField() {
		f := t.Field(i)
		path := prefix + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct {
			all = append(all, fieldsOf(f.Type, path+".")...)
			continue
		}
		all = append(all, Field{
			Path:     path,
			Unit:     f.Tag.Get("unit"),
			Default:  f.Tag.Get("default"),
			Required: f.Tag.Get("required") == "yes",
			Accepted: accepted(f.Type, f.Tag),
		})
	}
	return all
}

// accepted describes the values of a field of type t with the given tags.
func accepted(t reflect.Type, tag reflect.StructTag) string {
	if words := tag.Get("enum"); words != "" {
		return strings.ReplaceAll(words, ",", ", ")
	}
	var s string
	switch t {
	case reflect.TypeFor[Address]():
		s = acceptedAddress
	case reflect.TypeFor[Ratio]():
		s = acceptedRatio
	case reflect.TypeFor[MegabitsPerSecond]():
		s = acceptedMegabits
	case reflect.TypeFor[Duration]():
		s = acceptedDuration
	default:
		s = acceptedKind(t, tag)
	}
	if tag.Get("min") != "" {
		s += ", from " + tag.Get("min") + " to " + tag.Get("max")
	}
	return s
}

func acceptedKind(t reflect.Type, tag reflect.StructTag) string {
	switch t.Kind() {
	case reflect.Struct:
		return "mapping with the fields " + strings.Join(fieldNames(t), ", ")
	case reflect.Int:
		return "whole number"
	}
	if tag.Get("unit") == "path" {
		return acceptedPath
	}
	return acceptedName
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("yaml")
	}
	return names
}
