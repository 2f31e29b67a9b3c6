package core

// Keys of the state service.
const (
	Prefix = "zinclb/"
	// A job has its record under jobPrefix while it is unfinished, its progress in chunks
	// under runPrefix and in the log under logPrefix, and how it ended under endPrefix.
	jobPrefix = Prefix + "job/"
	runPrefix = Prefix + "run/"
	endPrefix = Prefix + "end/"
	// LeaderKey is on the leader's lease.
	LeaderKey     = Prefix + "leader"
	tokenKey      = Prefix + "token"
	typesKey      = Prefix + "types"
	partitionsKey = Prefix + "bounds"
	hintsKey      = Prefix + "hints"
	formatKey     = Prefix + "format"
	logPrefix     = Prefix + "log/"
	// typesPartPrefix and hintsPartPrefix are for the parts of values that do not fit one key.
	typesPartPrefix = typesKey + "/"
	hintsPartPrefix = hintsKey + "/"
	// memberPrefix is for what each controller says of itself.
	memberPrefix = Prefix + "member/"
	// featuresKey has the features that are on, decommissionedPrefix is for controllers
	// that operators say will not come back.
	featuresKey          = Prefix + "features"
	decommissionedPrefix = Prefix + "gone/"
	// connectivityPrefix is for what each controller reaches, on its lease.
	connectivityPrefix = Prefix + "reach/"
)

// StartPrefixes are listed at the start; ends are read one by one, as they
// are kept for ever.
var StartPrefixes = []string{
	jobPrefix,
	runPrefix,
	LeaderKey,
	tokenKey,
	typesKey,
	partitionsKey,
	hintsKey,
	formatKey,
	memberPrefix,
	logPrefix,
	sweepRoot,
	connectivityPrefix,
	featuresKey,
	decommissionedPrefix,
}
