package quota

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func sampleRequest() request {
	return request{
		header: header{kindAsk, 3, flagProbe | flagUnsettled, 0x1122334455667788, 7, 9, 66}, fleet: 42, weight: unit / 66, lease: time.Second,
		echoClock: 1234567890123, echoProcess: 5, teams: []want{{0x99, 3, 4}},
	}
}

func sampleAnswer() answer {
	return answer{
		header: header{kindAnswer, 1, flagReport, 0x1122334455667788, 7, 9, 66}, asker: 5, clock: 1234567890123, weight: unit / 3,
		report: report{1 << 60, 4, 2, 3}, teams: []grant{{0x99, 3, 4, 250 * time.Millisecond, flagUnknown}},
	}
}

// Guards against fields that are not decoded as they were encoded, and against an ask
// for one team of more than 100 bytes.
func TestDatagramsRoundTrip(t *testing.T) {
	is := is.New(t)
	r := sampleRequest()
	b := r.append(nil)
	is.Equal(len(b), requestBytes+wantBytes)
	is.True(len(b) <= 100)
	var gotRequest request
	is.NoErr(decodeRequest(b, &gotRequest))
	is.Equal(gotRequest, r)

	a := sampleAnswer()
	b = a.append(nil)
	is.Equal(len(b), answerBytes+reportBytes+grantBytes)
	var gotAnswer answer
	is.NoErr(decodeAnswer(b, &gotAnswer))
	is.Equal(gotAnswer, a)

	for n := range len(b) { // every part of a datagram is refused
		is.True(decodeAnswer(b[:n], &gotAnswer) != nil)
	}
}

// Guards against a retry time that wraps around on the wire, so that a node asks again
// at once.
func TestLongRetryTimesAreBounded(t *testing.T) {
	is := is.New(t)
	a := sampleAnswer()
	a.teams[0].retry = time.Hour
	var got answer
	is.NoErr(decodeAnswer(a.append(nil), &got))
	is.Equal(got.teams[0].retry, time.Minute)
}

// Guards against datagrams that make a decoder or a node panic, and against an encoding
// that depends on what was decoded into the same value before.
func FuzzDatagram(f *testing.F) {
	r, a := sampleRequest(), sampleAnswer()
	f.Add(r.append(nil))
	f.Add(a.append(nil))
	f.Add([]byte("Q"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var r request
		if err := decodeRequest(b, &r); err == nil {
			if again := r.append(nil); !bytes.HasPrefix(b, again) {
				t.Fatalf("decoded %x, encoded %x", b, again)
			}
		}
		var a answer
		if err := decodeAnswer(b, &a); err == nil {
			again := a.append(nil)
			var second answer
			if err := decodeAnswer(again, &second); err != nil || !bytes.Equal(second.append(nil), again) {
				t.Fatalf("decoded %x, encoded %x: %v", b, again, err)
			}
		}
		n := testNode(t, nil)
		n.Handle(b, netip.MustParseAddrPort("10.0.0.2:7600"))
	})
}
