package core

import (
	"log/slog"
	"math/rand/v2"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/txn"
)

// engine holds what all parts of a core share: the settings, the clock, the effects of
// the message that is being handled, and the calls whose results are pending.
type engine struct {
	settings Settings
	log      *slog.Logger
	rng      *rand.Rand

	// now is the time of the monotonic clock in microseconds; wallOffset is the time of day
	// minus now, 0 if the time of day is not known.
	now        int64
	wallOffset int64

	// effects are the effects of the message that is being handled.
	effects []any

	// transactions and keyReads are the calls in flight; lastID is the ID of the newest.
	lastID       uint64
	transactions *txn.Table
	keyReads     map[uint64]func(KeyRead)
}

func newEngine(settings Settings, now int64, rng *rand.Rand, log *slog.Logger) *engine {
	return &engine{
		settings:     settings,
		log:          log,
		rng:          rng,
		now:          now,
		transactions: txn.New(),
		keyReads:     map[uint64]func(KeyRead){},
	}
}

// emit adds an effect to those of the message that is being handled.
func (e *engine) emit(effect any) { e.effects = append(e.effects, effect) }

// newID returns a new ID for a transaction or a read of a key, which identifies its answer.
func (e *engine) newID() uint64 {
	e.lastID++
	return e.lastID
}

// commitTransaction sends a transaction and returns its ID; done is called with the result.
func (e *engine) commitTransaction(conditions []Cond, writes []Write, done func(TransactionResult)) (id uint64) {
	id = e.newID()
	e.transactions.Begin(id, conditions, writes, e.now, done)
	e.emit(CommitTransaction{ID: id, Conditions: conditions, Writes: writes})
	return id
}

// readKey reads a key; done is called with the answer.
func (e *engine) readKey(key string, done func(KeyRead)) {
	id := e.newID()
	e.keyReads[id] = done
	e.emit(ReadKey{ID: id, Key: key})
}

// completeRead calls the callback of a read with its answer.
func (e *engine) completeRead(m KeyRead) {
	done := e.keyReads[m.ID]
	if done == nil {
		return
	}
	delete(e.keyReads, m.ID)
	done(m)
}

// monotonicTime converts a time of day to the monotonic clock. It returns the current time if
// the conversion is not possible or if the time of day lies in the future.
func (e *engine) monotonicTime(wall int64) int64 {
	if wall == 0 || e.wallOffset == 0 {
		return e.now
	}
	return min(e.now, wall-e.wallOffset)
}

// heartbeatInterval returns the interval at which each worker sends heartbeats.
func (e *engine) heartbeatInterval() int64 {
	return config.MicrosOf(e.settings.Workers.ReportS)
}
