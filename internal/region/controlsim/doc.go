// Package controlsim tests control machines (package control) in a simulated world: the clock, the network, the disks and
// the operators are simulated, and a seeded source of chance decides, so that a run is repeated by its seed. The package
// holds tests only.
//
// # The simulation
//
// A world (world_test.go) is a queue of events in simulated time. Its hosts (host_test.go) each run a control.Machine on
// a simulated disk (disk_test.go), optionally on a share of a core (processor_test.go); a network (network_test.go)
// carries their messages, and operators (operator_test.go) send orders by the rules of the operator's API. Messages are
// lost, delayed, duplicated and reordered; machines are killed, frozen, partitioned one way or both ways, lose power with
// torn and missing writes, lose their disks, or are replaced; disks fill up and stall (randomfaults_test.go).
//
// While this goes on, and after it, the checker (checker_test.go) observes every action of every machine, and compares
// it with what package control promises. Tests that plant a fault (mutation_test.go, *_planted_test.go) show that it
// would find one.
//
// digest_test.go compares the actions of some runs with recorded digests: a change that should change no behaviour
// leaves them as they are.
//
// # Scenarios
//
//	storm_test.go, busystorm_test.go    random faults, with few and with hundreds of changes
//	doubled_test.go                     every message comes twice
//	overlappingfaults_test.go           a disk lost in the midst of other faults
//	founding_test.go                    loss of a seed while the system is founded
//	partition_*_test.go                 partitions of up to 22 s, delayed evacuations, claims of authority
//	chainpartition_test.go              a chain that is partitioned as a whole from the majority
//	adversary_*_test.go                 machines lost at the worst moment that the fault budget allows
//	catchup_*_test.go                   a member that is away for hundreds of changes
//	leaving_test.go, handover_test.go   graceful shutdown
//	race_*_test.go                      two orders on one version at every event of a view change (viewchange_test.go)
//	repeatedorders_*_test.go            acknowledged orders sent again
//	stalereplica_test.go                a replaced head or tail answers nothing (quorum checks)
//	lateevacuation_test.go              a late copy of an evacuation undoes nothing (confirmation tokens)
//	calmauthority_test.go               no loss of authority without faults
//	callerstorms_test.go                calls of applications (callers_test.go) under most of these faults, judged by their history
//	largeorders_test.go, largereads_test.go, lostchange_test.go   large configurations on slow machines and links
//
// # Replaying a seed
//
// A failed run prints its seed and, for the first one, its trace. The environment variables below name the first seed and
// the number of runs; one run is repeated with its seed as the first and 1 as the number:
//
//	CONTROLSIM_FIRST=77 CONTROLSIM_SEEDS=1 go test -run TestMachinesKeepTheirPromisesThroughStorms -v ./internal/region/controlsim
//
//	CONTROLSIM_FIRST               first seed, of all tests that name no other variable
//	CONTROLSIM_SEEDS               number of storms; in proportion, runs of the adversary and of graceful shutdowns
//	CONTROLSIM_BUSY                number of storms over hundreds of changes
//	CONTROLSIM_CALLS               number of runs with callers under each kind of faults
//	CONTROLSIM_OVERLAP             number of storms with overlapping faults
//	CONTROLSIM_FOUNDING            number of foundings
//	CONTROLSIM_CALM_SEEDS          number of calm runs
//	CONTROLSIM_FAR                 number of runs with a member far behind; CONTROLSIM_DISTANCE and CONTROLSIM_ROUTES set
//	                               the changes that it misses and the routes of a large configuration
//	CONTROLSIM_REPEAT_FIRST, CONTROLSIM_REPEAT_SEEDS, CONTROLSIM_REPEAT_SECONDS
//	                               first seed, number and length of the runs that repeat orders
//	CONTROLSIM_RACE_STRIDE         events of a view change that the sweeps of races pass over at a time
//	CONTROLSIM_PROCESSOR_PERCENT   share of a core of each host in the adversary's runs
//	CUTSIM_FIRST, CUTSIM_SEEDS     first seed and number of the partition storms
package controlsim
