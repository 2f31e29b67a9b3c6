package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	pb "github.com/zinclb/zinclb/internal/emulator/scenario/scenariopb"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// maxJobs is the maximum number of jobs in a scenario.
const maxJobs = 200_000

var kindNames = map[pb.Load_Kind]string{pb.Load_ARRAY: wire.Array, pb.Load_GANG: wire.Gang, pb.Load_SERVICE: wire.Service}

// firstJobNumber is the number of the first generated job. Lower numbers are left for jobs
// that are submitted by hand.
const firstJobNumber = 100_001

// drawJobs draws the jobs of all loads and numbers them in order of arrival.
func (r *reader) drawJobs(m *pb.Scenario, s *Scenario) {
	var jobs []environment.Job
	predecessors := map[int]int{} // index in jobs of a chained job -> index of its predecessor
	for i, l := range m.Load {
		field := fmt.Sprintf("load[%d]", i)
		rng := rand.New(rand.NewPCG(s.Seed, uint64(100+i)))
		teams := r.checkLoad(field, l, s)
		source := r.newJobSource(field, l, teams, rng)
		for _, at := range r.arrivals(field, l, s.Length, rng) {
			job := source.draw(at)
			for k := range max(1, l.GetChain()) {
				if k > 0 {
					predecessors[len(jobs)] = len(jobs) - 1
				}
				jobs = append(jobs, job)
			}
			if len(jobs) > maxJobs {
				r.addError(field+".per_minute", "more than %d jobs", maxJobs)
				return
			}
		}
	}
	s.Jobs = append(s.Jobs, numberJobs(jobs, predecessors)...)
}

// checkLoad checks the names that a load refers to and returns the names of its teams.
func (r *reader) checkLoad(field string, l *pb.Load, s *Scenario) (teams []string) {
	if l.GetClass() == "" {
		r.addError(field+".class", "missing")
	}
	teams = l.Teams
	if len(teams) == 0 {
		teams = []string{s.Params.Teams[0].Name}
	}
	for _, team := range teams {
		if s.Params.Team(team) == nil {
			r.addError(field+".teams", "no team is called %q", team)
		}
	}
	if l.Zone != nil && !slices.Contains(s.Params.Zones, l.GetZone()) {
		r.addError(field+".zone", "no zone is called %q", l.GetZone())
	}
	return teams
}

// jobSource draws the jobs of one load.
type jobSource struct {
	reader        *reader
	field         string
	load          *pb.Load
	rng           *rand.Rand
	teams         []string
	tasks, run    func(*rand.Rand) float64
	imageSizes    []float64 // GB
	estimateError float64
	cancelled     float64 // share of jobs
}

func (r *reader) newJobSource(field string, l *pb.Load, teams []string, rng *rand.Rand) *jobSource {
	source := &jobSource{
		reader: r,
		field:  field,
		load:   l,
		rng:    rng,
		teams:  teams,
		tasks:  r.distribution(field+".tasks", l.Tasks, 1),
		run:    r.distribution(field+".run_s", l.RunS, 30),
	}
	image := r.distribution(field+".image_gb", l.ImageGb, 1)
	source.imageSizes = make([]float64, max(1, l.GetImages()))
	for k := range source.imageSizes {
		source.imageSizes[k] = math.Round(image(rng)*100) / 100
	}
	source.estimateError = r.number(field+".estimate_error", l.EstimateError, 0.3, 0, 10)
	source.cancelled = r.number(field+".cancelled", l.Cancelled, 0, 0, 1)
	return source
}

// draw draws a job that is submitted at the given time. The order of the random draws must
// not change, as it determines which jobs a seed gives.
func (source *jobSource) draw(at int64) environment.Job {
	r, field, l, rng := source.reader, source.field, source.load, source.rng
	tasks := max(1, int(math.Round(source.tasks(rng))))
	runS := max(0.1, source.run(rng))
	image := int(float64(len(source.imageSizes)) * math.Pow(rng.Float64(), 2)) // the lower the index, the more jobs use the image
	job := environment.Job{At: at, Run: config.MicrosOf(runS), Spec: wire.Job{
		Class:           l.GetClass(),
		Team:            source.teams[rng.IntN(len(source.teams))],
		Kind:            kindNames[l.GetKind()],
		Priority:        []string{"normal", "idle", "urgent", "production"}[l.GetPriority()],
		Tasks:           min(tasks, 100_000),
		CPUs:            r.number(field+".cpus", l.Cpus, 1, 0.001, 1e4),
		GPUs:            r.number(field+".gpus", l.Gpus, 0, 0, 1e3),
		MemGB:           r.number(field+".memory_gb", l.MemoryGb, 1, 0, 1e5),
		Image:           fmt.Sprintf("%s-%d", l.GetClass(), image),
		ImageGB:         source.imageSizes[image],
		Types:           l.Types,
		Zone:            l.Zone,
		OneZone:         l.GetOneZone(),
		Spread:          l.GetSpread(),
		Spot:            l.GetSpot(),
		CheckpointS:     l.GetCheckpointS(),
		CheckpointCostS: l.GetSaveS(),
	}}
	if l.GetKind() != pb.Load_SERVICE {
		job.Spec.EstimateS = math.Round(100*runS*math.Exp(rng.NormFloat64()*source.estimateError)) / 100
	}
	if factor := l.GetDeadline(); factor > 0 {
		deadline := factor * job.Spec.EstimateS
		job.Spec.DeadlineS = &deadline
	}
	if rng.Float64() < source.cancelled {
		job.Cancel = at + rng.Int64N(60_000_000) + 1
	}
	return job
}

// numberJobs sets the IDs and dependencies of jobs and returns the jobs in order of arrival.
func numberJobs(jobs []environment.Job, predecessors map[int]int) []environment.Job {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(jobs[a].At, jobs[b].At) })
	for n, i := range order {
		jobs[i].Spec.ID = fmt.Sprintf("req-%06d", firstJobNumber+n)
	}
	for i, predecessor := range predecessors {
		jobs[i].Spec.DependsOn = append(jobs[i].Spec.DependsOn, jobs[predecessor].Spec.ID)
	}
	sorted := make([]environment.Job, 0, len(jobs))
	for _, i := range order {
		sorted = append(sorted, jobs[i])
	}
	return sorted
}

// arrivals returns the times at which a load's jobs are submitted: the initial jobs within the
// first second of the load, and a Poisson process whose rate is multiplied during bursts.
func (r *reader) arrivals(field string, l *pb.Load, length int64, rng *rand.Rand) (at []int64) {
	from := r.seconds(field+".from_s", l.FromS, 1)
	until := length
	if d := r.seconds(field+".for_s", l.ForS, 0); d > 0 {
		until = min(length, from+d)
	}
	for range r.count(field+".initial", l.Initial, 0, 0, 100_000) {
		at = append(at, from+rng.Int64N(1_000_000))
	}
	rate := r.number(field+".per_minute", l.PerMinute, 0, 0, 1e6) / 60e6 // per microsecond
	if rate == 0 {
		return at
	}
	factor := func(t int64) float64 {
		v := 1.0
		for _, b := range l.Burst {
			if burstStart := config.MicrosOf(b.GetAtS()); t >= burstStart && t < burstStart+config.MicrosOf(b.GetForS()) {
				v *= b.GetFactor()
			}
		}
		return v
	}
	highest := 1.0
	for i, b := range l.Burst {
		highest = max(highest, r.number(fmt.Sprintf("%s.burst[%d].factor", field, i), b.Factor, 1, 0, 1000))
	}
	// Thin a Poisson process that has the highest rate.
	for t := from; len(at) <= maxJobs; {
		t += int64(rng.ExpFloat64()/(rate*highest)) + 1
		if t >= until {
			break
		}
		if rng.Float64()*highest < factor(t) {
			at = append(at, t)
		}
	}
	return at
}

// distribution returns a function that draws from the distribution of an amount. Without an
// amount, the function always returns the default value.
func (r *reader) distribution(field string, a *pb.Amount, defaultValue float64) func(*rand.Rand) float64 {
	if a == nil {
		return func(*rand.Rand) float64 { return defaultValue }
	}
	if len(a.Sizes) > 0 {
		if len(a.Weights) != 0 && len(a.Weights) != len(a.Sizes) {
			r.addError(field+".weights", "%d for %d sizes", len(a.Weights), len(a.Sizes))
			return func(*rand.Rand) float64 { return defaultValue }
		}
		return func(rng *rand.Rand) float64 {
			if len(a.Weights) == 0 {
				return a.Sizes[rng.IntN(len(a.Sizes))]
			}
			sum := 0.0
			for _, w := range a.Weights {
				sum += w
			}
			x := rng.Float64() * sum
			for i, w := range a.Weights {
				if x -= w; x < 0 {
					return a.Sizes[i]
				}
			}
			return a.Sizes[len(a.Sizes)-1]
		}
	}
	median := r.number(field+".median", a.Median, defaultValue, 0.001, 1e6)
	p95 := r.number(field+".p95", a.P95, median, median, 1e6)
	highest := r.number(field+".max", a.Max, math.Inf(1), 0.001, 1e6)
	const z95 = 1.6449
	sigma := math.Log(p95/median) / z95
	return func(rng *rand.Rand) float64 { return min(median*math.Exp(rng.NormFloat64()*sigma), highest) }
}
