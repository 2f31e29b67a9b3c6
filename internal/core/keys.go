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
	// LeaderKey names the leader and is attached to its lease.
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
	// featuresKey holds the enabled features. decommissionedPrefix is for controllers that
	// operators have declared as not coming back.
	featuresKey          = Prefix + "features"
	decommissionedPrefix = Prefix + "gone/"
	// connectivityPrefix is for the records of what each controller can reach; each is
	// attached to the lease of its controller.
	connectivityPrefix = Prefix + "reach/"
)

// StartPrefixes are the prefixes listed at startup. endPrefix is not among them, because the
// ends of jobs are kept forever, and read one by one.
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
