package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/prototext"

	"github.com/zinclb/zinclb/internal/config/operatorpb"
)

// Operators are the operators' settings after they have been checked.
type Operators struct {
	// ShortCutoff and LongCutoff are the upper bounds on a job's estimate for the short
	// and the middle queue.
	ShortCutoff, LongCutoff Micros
	// Term is the duration of a controller's lease on a partition.
	Term Micros
	// Trial is the duration of the trial run of a restartable job.
	Trial Micros
	// IdleReturn is the time after which an idle machine is returned, unless it is kept
	// as a spare.
	IdleReturn Micros
	// LeaderLease is the duration of the leader's lease in the state service.
	LeaderLease Micros
	// SpareShare is the number of idle machines to keep ready, as a share of the maximum
	// number in use within IdleReturn.
	SpareShare float64
	// Sweeps enables sweeps.
	Sweeps bool
	// Reach enables the choice of the leader by what the controllers can reach.
	Reach bool
	// WeighMoney decides whether cost is weighed. If it is nil, cost is weighed where no
	// team has a guarantee; see Deployment.WeighsCost.
	WeighMoney *bool
	// HoldFeatures are the names of the features whose activation this controller prevents.
	HoldFeatures []string
}

// Defaults returns the operators' settings that apply unless a file overrides them.
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

// LoadOperators reads and checks the operators' file. For an empty path it returns the
// defaults.
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

// bounds are the smallest and the largest allowed value of a setting.
type bounds struct{ min, max float64 }

// check returns an error if a value is NaN or not within the bounds.
func (b bounds) check(field string, value float64) error {
	if value >= b.min && value <= b.max {
		return nil
	}
	return fmt.Errorf("%s: %v is not within %v and %v", field, value, b.min, b.max)
}

// ParseOperators parses and checks the text of an operators' file.
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

// setDurations sets the durations that are in the file and within their bounds. It returns
// an error for each one that is out of bounds.
func (o *Operators) setDurations(file *operatorpb.Operators) (errs []error) {
	for _, duration := range []struct {
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
		if duration.seconds == nil {
			continue
		}
		if err := duration.bounds.check(duration.field, *duration.seconds); err != nil {
			errs = append(errs, err)
			continue
		}
		*duration.setting = MicrosOf(*duration.seconds)
	}
	return errs
}

// maxFeatureNameLength is the maximum length of a feature's name.
const maxFeatureNameLength = 40

// isFeatureName reports whether name has the form of a feature's name. It does not check
// that the feature exists, because a file may withhold a feature that only a newer version
// of the program has.
func isFeatureName(name string) bool {
	return name != "" && len(name) <= maxFeatureNameLength && strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}
