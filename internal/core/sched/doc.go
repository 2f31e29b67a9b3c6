// Package sched plans which tasks start on which machines. It implements multiple-queue
// backfilling with priorities after Lawson and Smirni, "Multiple-Queue Backfilling
// Scheduling with Priorities and Reservations for Parallel Systems" (called the paper),
// on machines with several kinds of resources.
//
// Backfilling runs short work in the gaps that a wide job leaves while it waits for its
// machines. With a single queue, a few long jobs still delay many short ones. So the paper
// has several queues, by estimated run time, and divides the machines into partitions, one
// for each queue. A planning round follows the paper's figure 2:
//
//   - Queues are sorted by priority and, within a priority, by arrival. compareJobs
//     documents the exceptions, such as guarantees and deadlines.
//   - The first job of a queue that cannot start is its pivot. Its start time follows from
//     the estimated ends of the running tasks, and the resources that it will then get are
//     reserved for it. Pivots of high priority are placed before those of low priority, so
//     that the latter reserve only what the former leave.
//   - Any other job starts if it delays no pivot: if by its estimate it ends before the
//     pivot starts, or needs only what the pivot leaves. It starts on machines of its own
//     queue's partition first.
//   - What remains free in any partition is then lent to jobs of the other queues, under
//     the same condition.
//
// The paper's reservations for given times (section 2.2) are not used, as no job requests a
// start time. A reservation in this package is made for a waiting job. Preemption is not in
// the paper. Work of lower priority is preempted for a pivot that would wait too long, and
// for an urgent gang to get machines that have its image. A claim reserves what this frees
// for the job for which the work was preempted.
//
// A plan is a pure function of the Planner's input. Index orders the machines such that a
// round finds the candidates for a task without a scan of the others. docs/design.md
// describes the differences from the paper and the reasons for them.
package sched
