// Package simulate tests plans and their execution in a simulated deployment: model servers that generate responses, edge
// machines that forward them, core machines that vote, clients that cache addresses, a platform that starts and stops the
// nodes that the committed state names, and a chain that stores states by compare-and-set. The simulation has a clock that
// only the test advances and a seeded random generator, so that the seed of a run reproduces it.
//
// Servers and machines crash and restart, proxies and core machines are partitioned, demand bursts, the executor is
// killed, frozen and run in two instances, its stores go unanswered, and the operator pauses, resumes and aborts the run.
// After every step a checker looks for violations: responses lost or duplicated by the migration, removal of capacity that
// is needed or of the last server of a zone, too few voters, forbidden transitions, and a run that does not end.
//
// The package contains only tests; it starts no process and does not test how demand is measured in a real deployment.
// MIGRATION_RUNS sets the number of runs, MIGRATION_FIRST the first seed, and MIGRATION_KILL_SEEDS the number of seeds for
// the test that kills the executor at every store. The design is in docs/design/migration.md.
package simulate
