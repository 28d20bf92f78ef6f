// Package planfile reads, validates and writes the plan file of a migration: the replacements of nodes, the required
// headroom, the demand over the day and, once a plan was made, its stages.
//
// The file is TOML. An operator writes it without stages. The planner adds the stages, with comments for the reviewer. A
// run reads the file again and verifies the stages against the inventory of that time. Unknown keys are faults, so that a
// misspelled limit is noticed. The package combines the file with an inventory that its caller has collected; it does no
// I/O itself. The design is in docs/design/migration.md.
package planfile
