package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const valid = `node: serra-1
regions: [serra, litoral, oeste]
region: serra
availability_zone: caxias
listeners:
  calls: 127.0.0.1:7400
  peer: 127.0.0.1:7401
  admin: 127.0.0.1:7402
advertise:
  region_addresses:
    litoral: 127.0.0.1:7501
upstream:
  service: acompanha
  address: 127.0.0.1:7403
  slots: 15
  connections: 130
platform:
  tables: http://127.0.0.1:7300
  objects: http://127.0.0.1:7301/
  timeout: 1500ms
seeds: [127.0.0.1:7411]
limits:
  body: 4MiB
`

// Guards against values or defaults that are lost between file and entry.
func TestParseFillsValuesAndDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("node.yaml", []byte(valid))
	is.NoErr(err)
	is.Equal(time.Duration(s.Platform.Timeout), 1500*time.Millisecond)
	is.Equal(s.Platform.Objects, URL("http://127.0.0.1:7301"))
	is.Equal(s.Limits.Body, Size(4<<20))
	is.Equal(s.Limits.Headers, Size(32<<10))
	is.Equal(s.Drain.Finish, Duration(30*time.Second))
	is.Equal(s.Log.Format, "json")
	e := s.Entry(7)
	is.Equal(e.Address, "127.0.0.1:7401")
	is.Equal(e.AddressFrom("litoral"), "127.0.0.1:7501")
	is.Equal(e.Slots, 15)
}

// Guards against faults that are accepted or reported at the wrong place.
func TestParseRefusesFaults(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", "  slots: 15", "  slotz: 15", `node.yaml:15: upstream.slotz: unknown field (accepted: service, address, slots, connections, health_path)`},
		{"unknown section", "seeds:", "peers:", `node.yaml:21: peers: unknown field (accepted: node, regions,`},
		{"wrong type", "slots: 15", "slots: many", `node.yaml:15: upstream.slots: not a whole number "many" (accepted: whole number, from 1 to 10000)`},
		{"fraction", "slots: 15", "slots: 1.5", `node.yaml:15: upstream.slots: not a whole number "1.5"`},
		{"out of range", "slots: 15", "slots: 0", `node.yaml:15: upstream.slots: out of range "0"`},
		{"above the maximum", "slots: 15", "slots: 10001", `node.yaml:15: upstream.slots: out of range "10001"`},
		{"too long", "1500ms", "61s", `node.yaml:20: platform.timeout: out of range "61s"`},
		{"mapping expected", "platform:\n  tables: http://127.0.0.1:7300\n  objects: http://127.0.0.1:7301/\n  timeout: 1500ms", "platform: here", `node.yaml:17: platform: wrong type (accepted: mapping with the fields tables, objects, timeout)`},
		{"list expected", "[127.0.0.1:7411]", "127.0.0.1:7411", `node.yaml:21: seeds: wrong type (accepted: list of: IP number`},
		{"wrong unit", "1500ms", "1500us", `node.yaml:20: platform.timeout: malformed duration or wrong unit "1500us" (accepted: number with unit ms, s or m, such as 500ms, from 10ms to 1m)`},
		{"no unit", "1500ms", "1500", `node.yaml:20: platform.timeout: malformed duration or wrong unit "1500"`},
		{"wrong size unit", "4MiB", "4MB", `node.yaml:23: limits.body: malformed size or wrong unit "4MB"`},
		{"missing address", "  peer: 127.0.0.1:7401\n", "", `node.yaml:6: listeners.peer: missing (accepted: IP number and port`},
		{"malformed address", "127.0.0.1:7402", "127.0.0.1", `node.yaml:8: listeners.admin: malformed address "127.0.0.1"`},
		{"host name", "127.0.0.1:7402", "localhost:7402", `node.yaml:8: listeners.admin: malformed address "localhost:7402"`},
		{"malformed seed", "[127.0.0.1:7411]", "[127.0.0.1:7411, x]", `node.yaml:21: seeds[1]: malformed address "x"`},
		{"malformed URL", "http://127.0.0.1:7300", "127.0.0.1:7300", `node.yaml:18: platform.tables: malformed URL "127.0.0.1:7300"`},
		{"own region unknown", "region: serra", "region: sera", `node.yaml:3: region: unknown region "sera" (accepted: serra, litoral, oeste)`},
		{"override region unknown", "    litoral:", "    litorall:", `node.yaml:11: advertise.region_addresses.litorall: unknown region or the node's own (accepted: litoral, oeste)`},
		{"override of own region", "    litoral:", "    serra:", `node.yaml:11: advertise.region_addresses.serra: unknown region or the node's own`},
		{"unspecified listener", "peer: 127.0.0.1:7401", "peer: 0.0.0.0:7401", `node.yaml:7: advertise.peer: must be stated`},
		{"same address twice", "admin: 127.0.0.1:7402", "admin: 127.0.0.1:7401", `node.yaml:8: listeners.admin: same address as listeners.peer`},
		{"unknown word", "limits:", "log: {level: loud}\nlimits:", `node.yaml:22: log.level: unknown word "loud" (accepted: debug, info, warn, error)`},
		{"no value", "node: serra-1", "node:", `node.yaml:1: node: wrong type`},
		{"duplicate", "node: serra-1", "node: serra-1\nnode: serra-2", `node.yaml:2: not valid YAML: `},
		{"broken YAML", "seeds: [", "seeds: [[", `not valid YAML: `},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, c.old))
			s, err := Parse("node.yaml", []byte(strings.Replace(valid, c.old, c.new, 1)))
			is.True(s == nil)
			var f *Fault
			is.True(errors.As(err, &f))
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got  %s\nwant %s", err, c.want)
			}
		})
	}
}

// Guards against an empty file that starts a node with defaults only.
func TestParseRefusesEmptyFile(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "# nothing\n", "---\n---\n"} {
		_, err := Parse("node.yaml", []byte(text))
		is.True(err != nil)
	}
}

// Guards against a settings page that differs from the fields of the program.
func TestPageListsEveryField(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	var rows []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, line)
		}
	}
	fields := Fields()
	is.Equal(len(rows), len(fields))
	for i, f := range fields {
		cells := strings.Split(rows[i], "|")
		is.Equal(strings.TrimSpace(cells[1]), "`"+f.Path+"`")
		is.Equal(strings.TrimSpace(cells[2]), f.Unit)
		is.Equal(strings.TrimSpace(cells[3]), defaultCell(f))
		is.Equal(strings.TrimSpace(cells[4]), f.Accepted)
		is.True(strings.TrimSpace(cells[5]) != "") // meaning
	}
}

// Guards against an example on the settings page that a node would refuse.
func TestPageExampleIsAccepted(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	_, example, found := strings.Cut(string(page), "```yaml\n")
	is.True(found)
	example, _, _ = strings.Cut(example, "```")
	_, err = Parse("docs/settings.md", []byte(example))
	is.NoErr(err)
}

func defaultCell(f Field) string {
	switch {
	case f.Required:
		return "required"
	case f.Default == "":
		return "none"
	default:
		return "`" + f.Default + "`"
	}
}
