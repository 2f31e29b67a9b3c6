package core

import (
	"log/slog"
	"math/rand/v2"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/core/txn"
)

// engine is what all parts of a core share: the settings, the clock, the effects of
// the message that is being handled, and the calls whose results are waited for.
type engine struct {
	settings Settings
	log      *slog.Logger
	rng      *rand.Rand

	// now is the steady clock in microseconds, wallOffset the time of day less it.
	now        int64
	wallOffset int64

	effects      []any
	lastID       uint64
	transactions *txn.Table
	keyReads     map[uint64]func(KeyRead)
}

func (e *engine) emit(effect any) { e.effects = append(e.effects, effect) }

func (e *engine) newID() uint64 {
	e.lastID++
	return e.lastID
}

func (e *engine) commitTransaction(when []Cond, writes []Write, f func(TransactionResult)) {
	id := e.newID()
	e.transactions.Begin(id, when, writes, e.now, f)
	e.emit(CommitTransaction{ID: id, Conditions: when, Writes: writes})
}

func (e *engine) readKey(key string, f func(KeyRead)) {
	id := e.newID()
	e.keyReads[id] = f
	e.emit(ReadKey{ID: id, Key: key})
}

// steadyTime converts a time of day to the steady clock; one that is not known, or
// that lies ahead, is now.
func (e *engine) steadyTime(wall int64) int64 {
	if wall == 0 || e.wallOffset == 0 {
		return e.now
	}
	return min(e.now, wall-e.wallOffset)
}

// heartbeatInterval is how often each worker sends a heartbeat.
func (e *engine) heartbeatInterval() int64 {
	return config.MicrosOf(e.settings.Workers.ReportS)
}
