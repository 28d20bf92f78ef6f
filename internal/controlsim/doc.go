// Package controlsim tests control machines in a simulated world: the clock, the network, the disks and the
// operators are made of slices and a seeded source of chance, so that a run can be repeated by its seed.
//
// Messages are lost, delayed, doubled and reordered; machines are killed, frozen, cut off one way or both ways,
// lose power with torn and missing writes, lose their disks, or are replaced; disks fill up and stall. While
// this goes on, and after it, the checker looks at every action of every machine. The package holds tests
// only. The environment variable CONTROLSIM_SEEDS sets the number of runs, CONTROLSIM_FIRST the first seed;
// CUTSIM_SEEDS and CUTSIM_FIRST do so for the storms of cuts of up to 22 s.
// CONTROLSIM_REPEAT_SEEDS and CONTROLSIM_REPEAT_FIRST do so for the runs with eight operators that repeat orders, and
// CONTROLSIM_RACE_STRIDE tells how many events of a change of view the sweeps of races pass over at a time.
// CONTROLSIM_FAR is the number of those in which a member is away for hundreds of changes, CONTROLSIM_BUSY of the
// storms over hundreds of changes, CONTROLSIM_FOUNDING of the foundings.
// CONTROLSIM_PROCESSOR_PERCENT gives the hosts of the adversary's runs that share of a core.
package controlsim
