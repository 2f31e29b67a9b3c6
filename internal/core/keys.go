package core

// Keys of the state service.
const (
	Prefix = "zinclb/"
	// A job has a record under jobPrefix, which is removed after the job has ended. Its
	// progress is stored in chunks under runPrefix and in the log under logPrefix, and its
	// end under endPrefix.
	jobPrefix = Prefix + "job/"
	runPrefix = Prefix + "run/"
	endPrefix = Prefix + "end/"
	// LeaderKey names the leader and is bound to the leader's lease.
	LeaderKey     = Prefix + "leader"
	tokenKey      = Prefix + "token"
	typesKey      = Prefix + "types"
	partitionsKey = Prefix + "bounds"
	hintsKey      = Prefix + "hints"
	formatKey     = Prefix + "format"
	logPrefix     = Prefix + "log/"
	// typesPartPrefix and hintsPartPrefix are for the parts of values that do not fit in one key.
	typesPartPrefix = typesKey + "/"
	hintsPartPrefix = hintsKey + "/"
	// memberPrefix is for the advertisements of the controllers: version, format and features.
	memberPrefix = Prefix + "member/"
	// featuresKey holds the active features. decommissionedPrefix is for controllers that
	// operators have declared permanently gone.
	featuresKey          = Prefix + "features"
	decommissionedPrefix = Prefix + "gone/"
	// connectivityPrefix is for the advertisements of what each controller can reach; each is
	// bound to the lease of its controller.
	connectivityPrefix = Prefix + "reach/"
)

// StartPrefixes are the prefixes listed at startup. endPrefix is not among them, because the
// ends of jobs are kept forever; they are looked up when they are needed.
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
