package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/prototext"

	"github.com/zinclb/zinclb/internal/config/operatorpb"
)

// Operators are the checked operators' settings.
type Operators struct {
	// ShortCutoff and LongCutoff are the estimates below which a job goes to the short
	// and to the middle queue.
	ShortCutoff, LongCutoff Micros
	// Term is how long a partition is leased to a controller.
	Term Micros
	// Trial is the trial run of restartable jobs.
	Trial Micros
	// IdleReturn is after what time an idle machine that is no spare one is returned.
	IdleReturn Micros
	// LeaderLease is the leader's lease in the state service.
	LeaderLease Micros
	// SpareShare is how many idle machines are kept ready, as a share of the most that
	// were in use within IdleReturn.
	SpareShare float64
	// Sweeps says that sweeps are taken.
	Sweeps bool
	// Reach says that leadership follows what controllers reach.
	Reach bool
	// WeighMoney, nil for where no team has a guarantee: see Deployment.WeighsCost.
	WeighMoney *bool
	// HoldFeatures are features that this controller holds back.
	HoldFeatures []string
}

// Defaults are the operators' settings where no file says otherwise.
func Defaults() Operators {
	return Operators{
		ShortCutoff: 60 * Second,
		LongCutoff:  600 * Second,
		Term:        10 * Second,
		Trial:       180 * Second,
		IdleReturn:  40 * Second,
		LeaderLease: 3 * Second,
		SpareShare:  1,
		Reach:       true,
	}
}

// LoadOperators reads the operators' file; an empty path gives the defaults.
func LoadOperators(path string) (Operators, error) {
	if path == "" {
		return Defaults(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operators{}, fmt.Errorf("read operators' settings: %w", err)
	}
	return ParseOperators(text)
}

// bounds are the least and the largest value of a setting.
type bounds struct{ least, most float64 }

// check is an error if a value, which may be NaN, is not within the bounds.
func (b bounds) check(field string, value float64) error {
	if value >= b.least && value <= b.most {
		return nil
	}
	return fmt.Errorf("%s: %v is not within %v and %v", field, value, b.least, b.most)
}

// ParseOperators checks the text of an operators' file.
func ParseOperators(text []byte) (Operators, error) {
	settings := Defaults()
	var file operatorpb.Operators
	if err := prototext.Unmarshal(text, &file); err != nil {
		return settings, fmt.Errorf("operators' settings: %w", err)
	}
	errs := settings.setDurations(&file)
	if share := file.SpareShare; share != nil {
		errs = append(errs, bounds{0, 10}.check("spare_share", *share))
		settings.SpareShare = *share
	}
	for i, name := range file.HoldFeatures {
		if !isFeatureName(name) {
			errs = append(errs, fmt.Errorf("hold_features[%d]: %q is no name of a feature", i, name))
		}
	}
	settings.HoldFeatures = file.HoldFeatures
	settings.Sweeps = file.GetSweeps()
	settings.WeighMoney = file.WeighMoney
	if file.Reach != nil {
		settings.Reach = *file.Reach
	}
	if settings.LongCutoff < settings.ShortCutoff {
		errs = append(errs, errors.New("long_cutoff_s: less than short_cutoff_s"))
	}
	return settings, errors.Join(errs...)
}

// setDurations takes the durations that the file has and that are within their bounds.
func (o *Operators) setDurations(file *operatorpb.Operators) (errs []error) {
	for _, d := range []struct {
		field   string
		seconds *float64
		setting *Micros
		bounds  bounds
	}{
		{"short_cutoff_s", file.ShortCutoffS, &o.ShortCutoff, bounds{1, 86_400}},
		{"long_cutoff_s", file.LongCutoffS, &o.LongCutoff, bounds{1, 864_000}},
		{"term_s", file.TermS, &o.Term, bounds{2, 60}},
		{"trial_s", file.TrialS, &o.Trial, bounds{10, 3600}},
		{"idle_return_s", file.IdleReturnS, &o.IdleReturn, bounds{10, 86_400}},
		{"leader_lease_s", file.LeaderLeaseS, &o.LeaderLease, bounds{1, 30}},
	} {
		if d.seconds == nil {
			continue
		}
		if err := d.bounds.check(d.field, *d.seconds); err != nil {
			errs = append(errs, err)
			continue
		}
		*d.setting = MicrosOf(*d.seconds)
	}
	return errs
}

// maxFeatureName bounds the names of features.
const maxFeatureName = 40

// isFeatureName says whether a text may name a feature. Which there are is not asked: a
// file may hold back one that only a newer program has.
func isFeatureName(s string) bool {
	return s != "" && len(s) <= maxFeatureName && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}
