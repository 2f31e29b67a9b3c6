// Package sched plans which tasks start on which machines. It is multiple-queue
// backfilling with priorities after Lawson and Smirni, "Multiple-Queue Backfilling
// Scheduling with Priorities and Reservations for Parallel Systems" (called the paper),
// over machines with vectors of resources.
//
// Backfilling lets short work run in the gaps that a wide job leaves while it waits for
// its machines. With a single queue a few long jobs still hold up many short ones, so
// the paper has several queues, by estimated run time, and divides the machines into
// partitions, one for each queue. A round of planning goes as in the paper's figure 2:
//
//   - Queues are in the order of priority and, within that, of arrival (compareJobs has
//     the exceptions: guarantees and deadlines).
//   - The first job of a queue that can't start is its pivot. Its start time follows from
//     the estimated ends of the running tasks, and the resources that it will get then are
//     reserved for it. High pivots are placed before low ones, so that a low one is
//     reserved only what no higher one claims.
//   - Any other job starts if it delays no pivot: if it ends by its estimate before the
//     pivot starts, or needs only what the pivot leaves. It starts on machines of its own
//     queue's partition first.
//   - What is left in any partition is then lent to jobs of the other queues, under the
//     same condition.
//
// The paper's reservations for given times (section 2.2) are not used, as no job asks for
// a time; a reservation is here what is kept for a waiting job. The paper does not have
// preemption. A pivot that would wait for too long has work of lower priority stopped,
// and an urgent gang has it stopped for the sake of machines that have its image. Claims
// keep what comes free that way for the job that it was stopped for.
//
// A plan is a pure function of what a Planner is given. Index keeps the machines in an
// order in which a round finds those that come into question without a look at the rest.
// docs/design.md says what was changed of the paper, and why.
package sched
