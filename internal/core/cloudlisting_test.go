package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// TestCloudListings checks that a list without a machine proves that the machine is gone only
// if it describes a later time than a list that contained it.
func TestCloudListings(t *testing.T) {
	const lag = 8 * second // twice the nominal lag
	type read struct {
		at, describes int64 // when the list was received and the time that it describes, in seconds
		names         string
	}
	cases := []struct {
		name  string
		reads []read
		want  string
	}{
		{"still there", []read{{20, 16, "abc"}, {30, 26, "abc"}, {40, 36, "abc"}}, ""},
		{"missing from a list that is certainly later", []read{{20, 16, "abc"}, {40, 36, "ac"}}, "b"},
		{"list possibly as old as the one with the machine", []read{{20, 18, "abc"}, {28, 24, "ac"}}, ""},
		{"list older than the one with the machine", []read{{20, 12, "ac"}, {24, 23, "abc"}, {30, 22, "ac"}}, ""},
		{"ages show how much lists lag", []read{{20, 12, "abc"}, {24, 23, "abc"}, {28, 26, "ac"}}, "b"},
		{"missing at the end of the list", []read{{20, 16, "abc"}, {40, 36, "ab"}}, "c"},
		{"the age of a new machine next to it proves nothing", []read{{20, 19, "ab"}, {24, 23, "ac"}}, ""},
		{"an empty list proves nothing", []read{{20, 16, "a"}, {40, 36, ""}}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var listings cloudListings
			got := ""
			for _, r := range tc.reads {
				got += strings.Join(listings.update(r.at*second-lag, r.at*second, listedAt(r.names, r.describes*second)), "")
			}
			if got != tc.want {
				t.Errorf("machines proven gone: got %q, want %q", got, tc.want)
			}
		})
	}
}

// listedAt returns a list that describes the given time; the machines were rented one second apart, in
// the order of names.
func listedAt(names string, at int64) (list []CloudMachine) {
	for i, n := range strings.Split(names, "") {
		list = append(list, CloudMachine{Name: n, Age: at - int64(i)*second})
	}
	return list
}

// TestCloudListingsRandom checks with random fleets, lists and pages with permitted lags that no
// existing machine is ever considered gone, and that most machines that are gone are found.
func TestCloudListingsRandom(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	found, missed := 0, 0
	for range 40 {
		type lifetime struct{ made, listed, gone int64 }
		lifetimes := map[string]lifetime{}
		var listings cloudListings
		proven := map[string]bool{}
		for now := 20 * second; now < 400*second; now += 5*second + rng.Int64N(10*second) {
			for range rng.IntN(6) {
				made := now - rng.Int64N(5*second)
				lifetimes[fmt.Sprintf("m%05d", len(lifetimes))] = lifetime{made, made + rng.Int64N(2*second), now + rng.Int64N(200*second)}
			}
			var list []CloudMachine
			names := make([]string, 0, len(lifetimes))
			for n := range lifetimes {
				names = append(names, n)
			}
			slices.Sort(names)
			moment := int64(0)
			for i, n := range names {
				if i%7 == 0 { // a new page
					moment = now - rng.Int64N(8*second)
				}
				if x := lifetimes[n]; x.listed <= moment && moment < x.gone {
					list = append(list, CloudMachine{Name: n, Age: moment - x.made})
				}
			}
			for _, n := range listings.update(now-8*second, now, list) {
				proven[n] = true
				if lifetimes[n].gone > now {
					t.Fatalf("%s is reported as gone %d ms before it is gone", n, (lifetimes[n].gone-now)/1000)
				}
			}
		}
		for n, x := range lifetimes {
			if x.gone < 340*second && x.gone-x.made > 40*second {
				if proven[n] {
					found++
				} else {
					missed++
				}
			}
		}
	}
	if found < 10*missed || found == 0 {
		t.Errorf("machines that are gone: got %d found and %d missed, want at least 1 found and 10 times as many found as missed", found, missed)
	}
}
