package environment

import (
	"math/rand/v2"
	"slices"
)

// The protocol sets an order for the keys of a list and for the machines that the cloud lists, and
// for no other list. Every other list has an order drawn from the seed, so that a run fails if a
// controller relies on the order of changes in a watch, failed conditions, tasks in a report,
// machine types or rented machines.

// orderStream is the random stream of these orders. It is separate from the stream that all other
// random choices share, so that the length of a list does not affect them.
const orderStream = 2

func newOrderSource(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, orderStream)) }

// inAnyOrder returns a copy of a list in a random order.
func inAnyOrder[T any](env *Environment, list []T) []T {
	shuffled := slices.Clone(list)
	env.orders.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled
}
