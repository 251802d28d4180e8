package operator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/follow"
)

// Tag identifies the state of the row of the configuration in force by its
// position in the store. The zero value means that there is no row.
type Tag follow.Position

// noTag is the text form of the zero Tag.
const noTag = "none"

// String returns the tag in the form that ParseTag accepts, for example "2.31"
// for revision 31 in era 2.
func (t Tag) String() string {
	switch {
	case t == Tag{}:
		return noTag
	case t.Era == 0:
		return strconv.FormatUint(uint64(t.Revision), 10)
	}
	return fmt.Sprintf("%d.%d", t.Era, t.Revision)
}

// MarshalText implements encoding.TextMarshaler.
func (t Tag) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// ParseTag returns the tag with the given text form. It returns an error if text
// is not "none" and has no tag's form.
func ParseTag(text string) (Tag, error) {
	if text == noTag {
		return Tag{}, nil
	}
	era, revision, found := strings.Cut(text, ".")
	if !found {
		era, revision = "0", text
	}
	e, eraErr := strconv.ParseUint(era, 10, 64)
	r, err := strconv.ParseUint(revision, 10, 64)
	if eraErr != nil || err != nil {
		return Tag{}, merry.Errorf("%q is not accepted (accepted: tag that \"rules get\" prints, or %s)", text, noTag)
	}
	return Tag{Era: follow.Era(e), Revision: follow.Revision(r)}, nil
}
