package peer

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/ledger"
)

// TestAsk: every request that is handed on arrives as it was, numbered anew.
func TestAsk(t *testing.T) {
	for _, tc := range []struct{ sent, want any }{
		{core.Submit{Spec: &ledger.Spec{ID: "j", Tasks: 2}, Handed: true}, core.Submit{Req: 7, Spec: &ledger.Spec{ID: "j", Tasks: 2}, Handed: true}},
		{core.Status{ID: "j", Handed: true}, core.Status{Req: 7, ID: "j", Handed: true}},
		{core.Cancel{ID: "j", Handed: true}, core.Cancel{Req: 7, ID: "j", Handed: true}},
		{core.SweepStatus{ID: "s", Handed: true}, core.SweepStatus{Req: 7, ID: "s", Handed: true}},
		{core.SweepRuns{ID: "s", After: 3, Most: 9, Handed: true}, core.SweepRuns{Req: 7, ID: "s", After: 3, Most: 9, Handed: true}},
		{core.CancelSweep{ID: "s", Handed: true}, core.CancelSweep{Req: 7, ID: "s", Handed: true}},
		{core.CloudFor{Token: 4, Call: core.CloudCall{Rent: &core.Rent{Name: "r", Count: 3}}}, core.CloudFor{Req: 7, Token: 4, Call: core.CloudCall{Rent: &core.Rent{Name: "r", Count: 3}}}},
		{core.CloudFor{Token: 4, Call: core.CloudCall{Release: []string{"m"}}}, core.CloudFor{Req: 7, Token: 4, Call: core.CloudCall{Release: []string{"m"}}}},
		{core.HandedSweep{ID: "s", Stored: "x"}, nil}, // expanded first
		{"something else", nil},
	} {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(Ask(tc.sent)); err != nil {
			t.Fatal(err)
		}
		var got AskArgs
		if err := gob.NewDecoder(&b).Decode(&got); err != nil {
			t.Fatal(err)
		}
		if m := got.Message(7); !reflect.DeepEqual(m, tc.want) {
			t.Errorf("%+v arrives as %+v", tc.sent, m)
		}
		if s, ok := tc.sent.(core.HandedSweep); ok && (got.Sweep == nil || *got.Sweep != s) {
			t.Errorf("%+v arrives as %+v", s, got.Sweep)
		}
	}
}
