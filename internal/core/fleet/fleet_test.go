package fleet

import (
	"slices"
	"testing"
)

// TestImageEviction checks that the most recently used images are kept, so that the planner
// does not rely on an image that the worker must have evicted.
func TestImageEviction(t *testing.T) {
	type use struct {
		image  string
		mb, at int64
	}
	cases := []struct {
		name  string
		cache int64 // size in MB
		uses  []use
		want  []string
	}{
		{"all images fit", 10, []use{{"a", 4, 1}, {"b", 6, 2}}, []string{"a", "b"}},
		{"least recently used image is evicted", 10, []use{{"a", 4, 1}, {"b", 4, 2}, {"c", 4, 3}}, []string{"b", "c"}},
		{"image used again is kept", 10, []use{{"a", 4, 1}, {"b", 4, 2}, {"a", 4, 3}, {"c", 4, 4}}, []string{"a", "c"}},
		{"image larger than the cache evicts all others", 10, []use{{"a", 4, 1}, {"b", 40, 2}}, []string{"b"}},
		{"empty image name is ignored", 10, []use{{"", 4, 1}}, nil},
		{"nothing is evicted while the cache size is unknown", 0, []use{{"a", 4, 1}, {"b", 40, 2}}, []string{"a", "b"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := NewMachine("m", 0)
			m.CacheMB = tc.cache
			for _, use := range tc.uses {
				m.RecordImageUse(use.image, use.mb, use.at)
			}
			var got []string
			for image := range m.Images {
				got = append(got, image)
			}
			slices.Sort(got)
			if !slices.Equal(got, tc.want) {
				t.Errorf("images in the cache: got %v, want %v", got, tc.want)
			}
		})
	}
}
