package fleet

import (
	"slices"
	"testing"
)

// TestImageEviction: a cache keeps the most recently used images, so that an image is
// not counted on where it must have been dropped.
func TestImageEviction(t *testing.T) {
	type use struct {
		image  string
		mb, at int64
	}
	cases := []struct {
		name  string
		cache int64
		uses  []use
		want  []string
	}{
		{"all fit", 10, []use{{"a", 4, 1}, {"b", 6, 2}}, []string{"a", "b"}},
		{"the oldest goes", 10, []use{{"a", 4, 1}, {"b", 4, 2}, {"c", 4, 3}}, []string{"b", "c"}},
		{"unless it was used again", 10, []use{{"a", 4, 1}, {"b", 4, 2}, {"a", 4, 3}, {"c", 4, 4}}, []string{"a", "c"}},
		{"one that is larger than the cache stays alone", 10, []use{{"a", 4, 1}, {"b", 40, 2}}, []string{"b"}},
		{"no image is none", 10, []use{{"", 4, 1}}, nil},
		{"an unknown size of the cache drops nothing", 0, []use{{"a", 4, 1}, {"b", 40, 2}}, []string{"a", "b"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := NewMachine("m", 0)
			m.CacheMB = tc.cache
			for _, u := range tc.uses {
				m.RecordImageUse(u.image, u.mb, u.at)
			}
			var got []string
			for im := range m.Images {
				got = append(got, im)
			}
			slices.Sort(got)
			if !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
