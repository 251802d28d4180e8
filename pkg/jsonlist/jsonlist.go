// Package jsonlist splits JSON objects and arrays into their parts without decoding
// these, so that each part can be decoded on its own. encoding/json refuses a whole
// document because of one value of another type, or because one value is nested more
// than 10,000 deep. Lists whose entries come from several writers are decoded with
// this package: an entry that cannot be decoded then costs only itself.
//
// The parts are found by counting brackets, without recursion, in one pass.
package jsonlist

import (
	"encoding/json"
	"errors"
)

// Errors of the functions of this package.
var (
	errSyntax    = errors.New("JSON is malformed")
	errNotObject = errors.New("JSON value is not an object")
	errNotArray  = errors.New("JSON value is not an array")
)

// Fields returns the fields of an object, each with its undecoded value. Of several
// fields with one name, the last counts. A value may be malformed inside. Fields
// returns an error if text is not an object, or if its end cannot be found.
func Fields(text []byte) (map[string][]byte, error) {
	s := scanner{text: text}
	if !s.take('{') {
		return nil, errNotObject
	}
	fields := make(map[string][]byte)
	for first := true; !s.take('}'); first = false {
		if !first && !s.take(',') {
			return nil, errSyntax
		}
		name, ok := s.value()
		if !ok || !s.take(':') {
			return nil, errSyntax
		}
		value, ok := s.value()
		if !ok {
			return nil, errSyntax
		}
		var decoded string
		if err := json.Unmarshal(name, &decoded); err != nil {
			return nil, errSyntax
		}
		fields[decoded] = value
	}
	return fields, s.end()
}

// Elements returns the undecoded elements of an array; null counts as an empty one.
// An element may be malformed inside. Elements returns an error if text is not an
// array, or if its end cannot be found.
func Elements(text []byte) ([][]byte, error) {
	s := scanner{text: text}
	if !s.take('[') {
		if value, ok := s.value(); ok && string(value) == "null" {
			return nil, s.end()
		}
		return nil, errNotArray
	}
	var elements [][]byte
	for first := true; !s.take(']'); first = false {
		if !first && !s.take(',') {
			return nil, errSyntax
		}
		value, ok := s.value()
		if !ok {
			return nil, errSyntax
		}
		elements = append(elements, value)
	}
	return elements, s.end()
}

// Decode decodes the elements of an array one by one. It leaves out those that
// cannot be decoded or for which check returns an error, and passes the error to
// ignored.
func Decode[T any](text []byte, check func(*T) error, ignored func(error)) ([]T, error) {
	elements, err := Elements(text)
	if err != nil {
		return nil, err
	}
	var all []T
	for _, e := range elements {
		var one T
		err := json.Unmarshal(e, &one)
		if err == nil {
			err = check(&one)
		}
		if err != nil {
			ignored(err)
			continue
		}
		all = append(all, one)
	}
	return all, nil
}

// scanner reads a JSON text from its start.
type scanner struct {
	text []byte
	at   int
}

func (s *scanner) skipSpace() {
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// take skips white space and then c, if c is next.
func (s *scanner) take(c byte) bool {
	s.skipSpace()
	if s.at == len(s.text) || s.text[s.at] != c {
		return false
	}
	s.at++
	return true
}

// end returns an error if more than white space follows.
func (s *scanner) end() error {
	if s.skipSpace(); s.at != len(s.text) {
		return errSyntax
	}
	return nil
}

// value skips one value and returns it. It returns false if there is none, or if its
// end is missing.
func (s *scanner) value() (value []byte, ok bool) {
	s.skipSpace()
	from, depth := s.at, 0
	for s.at < len(s.text) {
		switch c := s.text[s.at]; c {
		case '"':
			if !s.skipString() {
				return nil, false
			}
			if depth == 0 {
				return s.text[from:s.at], true
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 { // the end of the surrounding value
				return s.text[from:s.at], s.at > from
			}
			if depth--; depth == 0 {
				s.at++
				return s.text[from:s.at], true
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.text[from:s.at], s.at > from
			}
		}
		s.at++
	}
	return s.text[from:s.at], depth == 0 && s.at > from
}

// skipString skips a string. It returns false if its end is missing.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	s.at = min(s.at, len(s.text))
	return false
}
