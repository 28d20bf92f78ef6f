// Package simulate tests plans and their execution in a simulated deployment: model servers that write replies,
// edge machines that carry them, core machines that vote, clients that keep addresses, a platform that starts and
// stops what the committed state says, and a chain that stores one state in place of another. All of it is made
// of slices, a clock that only the test moves, and a seeded source of chance, so that a run can be repeated by its seed.
//
// Servers and machines crash and come back, proxies and the core are cut off, demand bursts, the executor is
// killed, doubled and frozen, its stores go unanswered, and the operator pauses, resumes and aborts. After every
// step a checker looks for replies lost or doubled by the migration, for room taken that was not there, for
// the last server of a zone, for votes, for states that may not follow each other, and for a run that does not
// end. The package holds tests only. The environment variable MIGRATION_RUNS sets the number of runs,
// MIGRATION_FIRST the first seed.
package simulate
