package jsonlist

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against parts that are cut at the wrong place, for example at a bracket in a
// string, and against a nested part that uses up the stack.
func TestPartsAreSplit(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
	fields, err := Fields([]byte(` { "a" : "}\"]" , "b\u0063":[1,{"x":"]"}],"d": -1.5e3 ,"e":null,"f":` + deep + `,"a":{} } `))
	is.NoErr(err)
	is.Equal(len(fields), 5)
	is.Equal(string(fields["a"]), "{}")
	is.Equal(string(fields["bc"]), `[1,{"x":"]"}]`)
	is.Equal(string(fields["d"]), "-1.5e3")
	is.Equal(string(fields["e"]), "null")
	is.Equal(string(fields["f"]), deep)
	elements, err := Elements([]byte(`["a,b",[],{"k":[1,2]} , true,7]`))
	is.NoErr(err)
	is.Equal(len(elements), 5)
	is.Equal(string(elements[0]), `"a,b"`)
	is.Equal(string(elements[2]), `{"k":[1,2]}`)
	for _, empty := range []string{"[]", " [ ] ", "null"} {
		elements, err := Elements([]byte(empty))
		is.NoErr(err)
		is.Equal(len(elements), 0)
	}
}

// Guards against malformed texts that are taken for whole ones.
func TestMalformedTextsAreRefused(t *testing.T) {
	for _, text := range []string{"", "{", "[", `{"a"`, `{"a":`, `{"a":1`, `{"a":1,}x`, `{"a" 1}`, `{1:1}`, `{"a":1}{`, `{"a":"x}`, "7", `"x"`, `{"a":"\`, "{,}", `{"a":}`} {
		if _, err := Fields([]byte(text)); err == nil {
			t.Errorf("Fields accepts %q", text)
		}
	}
	for _, text := range []string{"", "[", "[1", "[1,", "[1 2]", "[1]]", `["x]`, "{}", "7", "[,]", "[1,]"} {
		if _, err := Elements([]byte(text)); err == nil {
			t.Errorf("Elements accepts %q", text)
		}
	}
}

// Guards against one entry that costs others, and against one that is refused by its
// check and used nevertheless.
func TestDecodeLeavesOutOddEntries(t *testing.T) {
	is := is.New(t)
	errOdd := errors.New("odd")
	ignored := 0
	all, err := Decode([]byte(`[1,"x",3,{},99999999999999999999,[[]],4,null]`), func(n *int) error {
		if *n%2 == 1 {
			return nil
		}
		return errOdd
	}, func(error) { ignored++ })
	is.NoErr(err)
	is.Equal(all, []int{1, 3})
	is.Equal(ignored, 6)
}

// FuzzParts guards against a difference from encoding/json for valid texts, and
// against a panic for others.
func FuzzParts(f *testing.F) {
	for _, text := range []string{`{"a":[1,{"b":"\"]"}],"c":null}`, `[1,"x",{},[]]`, `{"a":1`, `["\\"]`, `{"\ud800":1}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		fields, err := Fields(text)
		var want map[string]json.RawMessage
		if json.Unmarshal(text, &want) == nil && want != nil {
			if err != nil || len(fields) != len(want) {
				t.Fatalf("Fields(%q) = %q, %v", text, fields, err)
			}
			for name, value := range want {
				if string(fields[name]) != string(value) {
					t.Fatalf("field %q of %q is %q", name, text, fields[name])
				}
			}
		}
		elements, err := Elements(text)
		var list []json.RawMessage
		if json.Unmarshal(text, &list) == nil && (err != nil || len(elements) != len(list)) {
			t.Fatalf("Elements(%q) = %q, %v", text, elements, err)
		}
	})
}
