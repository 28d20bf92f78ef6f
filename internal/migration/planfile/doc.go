// Package planfile reads, checks and writes the file of a migration: what is to be replaced by what, what must
// stay free, the demand over the day, and, once a plan was made, its stages.
//
// The file is TOML. A person writes it without stages; a planner adds them, with remarks for the person who
// reviews it; a run reads it again and checks the stages anew. Keys that are not known are faults: a misspelt
// bound must not go unnoticed.
package planfile
