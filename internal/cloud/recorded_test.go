package cloud

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/golden"
	"github.com/zinclb/zinclb/internal/httpwire"
)

// answered returns a response with a status and a body.
func answered(status int, body string) httpwire.Response {
	return httpwire.Response{Status: status, Body: []byte(body)}
}

const (
	completeType    = `{"label":"g8","vcpus":96.5,"gpus":8,"mem_gb":768.25,"local_gb":900.5,"fetch_gb_per_s":1.25,"price":32.5,"market_price":12.5,"boot_s":90.5,"paddocks":["a","b"]}`
	completeListing = `{"name_id":"host-1","endpoint":"10.1.0.1:9000","breed":"g8","paddock":"a","borrowed":true,"status":"up","held_s":61.5}`
)

// TestRecorded compares the requests of every call with the recorded ones, and the
// decoded responses with the expected results. The case names are part of the recording.
func TestRecorded(t *testing.T) {
	service := golden.NewFakeServer(t)
	client := New(service.Addr)
	defer client.Close()
	request := core.ScaleOut{Name: "r-1", Type: "g8", Zone: "a", Spot: true, Count: 3, NotAfter: 99, FencingToken: 7}
	types := func() any { return client.ListTypes() }
	list := func() any { return client.ListMachines(time.Microsecond) }
	scaleOut := func() any { return client.ScaleOut(request) }
	scaleIn := func() any { return client.ScaleIn([]string{"host-1", "host-2"}) }
	listing := core.CloudMachine{Name: "host-1", Addr: "10.1.0.1:9000", Type: "g8", Zone: "a", Status: "up", Spot: true, Age: 61_500_000}
	for _, tc := range []struct {
		name    string
		call    func() any
		answers []httpwire.Response
		want    any
	}{
		{"types", types, []httpwire.Response{answered(200, `{"breeds":[`+completeType+`]}`)}, core.MachineTypesListed{Types: []fleet.Type{{
			Name: "g8", Cap: jobstate.Resources{CPU: 96500, GPU: 8000, Mem: 768250},
			FetchRate: 1250, CacheMB: 900500, Price: 32.5, SpotPrice: 12.5, Boot: 90_500_000, Zones: []string{"a", "b"},
		}}}},
		{"types, refused", types, []httpwire.Response{answered(503, `{"error":"busy"}`)}, core.MachineTypesListed{Err: StatusError{503, `{"error":"busy"}`}}},
		{
			"list, two pages", list,
			[]httpwire.Response{answered(200, `{"stokers":[`+completeListing+`,{"name_id":"host 2&3"}],"truncated":true}`), answered(200, `{"stokers":[{"name_id":"host-4","status":"booting"}],"truncated":false}`)},
			core.MachinesListed{List: []core.CloudMachine{listing, {Name: "host 2&3"}, {Name: "host-4", Status: "booting"}}},
		},
		{"list, nothing", list, []httpwire.Response{answered(200, `{"stokers":[]}`)}, core.MachinesListed{}},
		{"list, refused", list, []httpwire.Response{answered(429, `{}`)}, core.MachinesListed{Err: StatusError{429, `{}`}}},
		{"rent", scaleOut, []httpwire.Response{answered(200, `{"stokers":["host-1","host-2"]}`)}, core.ScaledOut{Request: request, Names: []string{"host-1", "host-2"}, Status: 200}},
		{"rent, refused", scaleOut, []httpwire.Response{answered(409, `{"error":"none left"}`)}, core.ScaledOut{Request: request, Status: 409}},
		{"rent, unreadable", scaleOut, []httpwire.Response{answered(200, `{`)}, core.ScaledOut{Request: request}},
		{"release", scaleIn, []httpwire.Response{answered(200, `{}`)}, core.ScaledIn{Names: []string{"host-1", "host-2"}, OK: true}},
		{"release, refused", scaleIn, []httpwire.Response{answered(429, `{}`)}, core.ScaledIn{Names: []string{"host-1", "host-2"}}},
	} {
		service.AddNote("%s:", tc.name)
		service.SetAnswers(tc.answers...)
		if got := tc.call(); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: got %+v, want %+v", tc.name, got, tc.want)
		}
	}
	golden.Compare(t, "testdata/requests.txt", service.Requests())
}

// TestErrorTexts checks the error texts for a refused call and for a response that
// can't be decoded.
func TestErrorTexts(t *testing.T) {
	service := golden.NewFakeServer(t)
	client := New(service.Addr)
	defer client.Close()
	for _, tc := range []struct {
		answer  httpwire.Response
		want    string
		refused bool
	}{
		{answered(503, `{"error":"busy"}`), `cloud answered 503: {"error":"busy"}`, true},
		{answered(200, `{`), "cloud: unexpected end of JSON input", false},
	} {
		service.SetAnswers(tc.answer)
		err := client.ListTypes().Err
		var refused interface{ Refused() bool }
		if err == nil || err.Error() != tc.want || errors.As(err, &refused) != tc.refused {
			t.Errorf("response with status %d: got error %v, want %s with refused %v", tc.answer.Status, err, tc.want, tc.refused)
		}
	}
}
