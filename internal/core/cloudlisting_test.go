package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// TestCloudListings checks that a list that lacks a machine proves that the machine is gone only
// if the list describes a later time than a list that contained the machine.
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

// listedAt returns a list that describes the given time; the machines were rented one second
// apart, in the order of names.
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
			for name := range lifetimes {
				names = append(names, name)
			}
			slices.Sort(names)
			describedAt := int64(0)
			for i, name := range names {
				if i%7 == 0 { // a new page
					describedAt = now - rng.Int64N(8*second)
				}
				if life := lifetimes[name]; life.listed <= describedAt && describedAt < life.gone {
					list = append(list, CloudMachine{Name: name, Age: describedAt - life.made})
				}
			}
			for _, name := range listings.update(now-8*second, now, list) {
				proven[name] = true
				if lifetimes[name].gone > now {
					t.Fatalf("machine %s: got it reported as gone %d ms early, want it reported only once it is gone", name, (lifetimes[name].gone-now)/1000)
				}
			}
		}
		for name, life := range lifetimes {
			if life.gone < 340*second && life.gone-life.made > 40*second {
				if proven[name] {
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
