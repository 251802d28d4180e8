package settings

import (
	"errors"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

var errRange = errors.New("out of range")

// assign converts text to the type of v, checks it against the tags of the
// field and stores it.
func assign(v reflect.Value, text string, tag reflect.StructTag) error {
	switch v.Interface().(type) {
	case Address:
		a, err := parseAddress(text)
		v.SetString(string(a))
		return err
	case string:
		v.SetString(text)
		return checkText(text, tag)
	case Ratio:
		return assignFloat(v, text, 1)
	case MegabitsPerSecond:
		return assignFloat(v, text, maxMegabits)
	}
	n, err := parseInteger(v, text)
	if err != nil {
		return err
	}
	v.SetInt(n)
	return checkBounds(v, n, tag)
}

// assignFloat sets v to the number in text, which must be from 0 to limit.
func assignFloat(v reflect.Value, text string, limit float64) error {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) {
		return errors.New("not a number")
	}
	if n < 0 || n > limit {
		return errRange
	}
	v.SetFloat(n)
	return nil
}

// parseInteger parses text for the type of v. A duration is returned in
// nanoseconds, any other value as a whole number.
func parseInteger(v reflect.Value, text string) (int64, error) {
	switch v.Interface().(type) {
	case Duration:
		d, err := parseDuration(text)
		return int64(d), err
	default:
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return 0, errors.New("not a whole number")
		}
		return n, nil
	}
}

func checkBounds(v reflect.Value, n int64, tag reflect.StructTag) error {
	for _, bound := range []struct {
		tag   string
		wrong func(limit int64) bool
	}{
		{"min", func(limit int64) bool { return n < limit }},
		{"max", func(limit int64) bool { return n > limit }},
	} {
		text := tag.Get(bound.tag)
		if text == "" {
			continue
		}
		limit, err := parseInteger(v, text)
		if err != nil {
			return err
		}
		if bound.wrong(limit) {
			return errRange
		}
	}
	return nil
}

func checkText(text string, tag reflect.StructTag) error {
	if words := tag.Get("enum"); words != "" {
		if !slices.Contains(strings.Split(words, ","), text) {
			return errors.New("unknown word")
		}
		return nil
	}
	if tag.Get("unit") == "path" {
		if !strings.HasPrefix(text, "/") || strings.ContainsAny(text, " ?#") {
			return errors.New("malformed path")
		}
		return nil
	}
	if !namePattern.MatchString(text) {
		return errors.New("malformed name")
	}
	return nil
}
