package golden

import (
	"reflect"
	"slices"
	"testing"
)

// TestUnset checks that Unset finds zero fields at every depth and ignores zero elements that
// are not structs.
func TestUnset(t *testing.T) {
	type inner struct {
		Number int
		Text   string
	}
	type outer struct {
		Flag    bool
		List    []inner
		ByName  map[string]inner
		Pointer *inner
		Plain   []int
		hidden  int
	}
	full := inner{1, "a"}
	for _, tc := range []struct {
		name  string
		value outer
		want  []string
	}{
		{"all set", outer{true, []inner{full}, map[string]inner{"k": full}, &full, []int{0}, 0}, nil},
		{"nothing set", outer{}, []string{".Flag", ".List", ".ByName", ".Pointer", ".Plain"}},
		{"nested fields", outer{true, []inner{full, {Number: 1}}, map[string]inner{"k": {Text: "a"}}, &inner{Number: 1}, []int{0}, 0}, []string{".List[1].Text", ".ByName[k].Number", ".Pointer.Text"}},
	} {
		if got := Unset(tc.value); !reflect.DeepEqual(got, tc.want) && !slices.Equal(got, tc.want) {
			t.Errorf("%s: got unset paths %q, want %q", tc.name, got, tc.want)
		}
	}
}
