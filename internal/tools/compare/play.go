package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// pairing identifies the plays of different variants that are compared with each other.
type pairing struct {
	day  string
	seed uint64
}

// play is the result of one run of a day with one variant.
type play struct {
	variant *variant
	pairing
	score  float64
	broken []string // names of violated rules
}

// report contains the fields that are read from the bench's JSON report.
type report struct {
	Score  float64        `json:"G"`
	Broken map[string]any `json:"breaks"`
}

// playAll runs every day with every seed and every variant. Failed runs are printed; playAll returns an error only if
// a variant could not be built or all runs failed.
func playAll(given *options, variants []*variant) ([]play, error) {
	if err := buildAll(given, variants); err != nil {
		return nil, err
	}
	var done results
	var running sync.WaitGroup
	slots := make(chan struct{}, given.Jobs)
	for _, day := range given.Day {
		for _, seed := range given.Seed {
			for _, one := range variants {
				slots <- struct{}{}
				running.Go(func() {
					defer func() { <-slots }()
					done.add(playOne(given, one, pairing{day, seed}))
				})
			}
		}
	}
	running.Wait()
	for _, one := range variants {
		if err := copyJournal(one.folder, given.Journal); err != nil {
			done.failures = append(done.failures, err)
		}
	}
	for _, failure := range done.failures {
		fmt.Fprintln(os.Stderr, "compare:", failure)
	}
	if len(done.plays) == 0 {
		return nil, errors.Join(done.failures...)
	}
	return done.plays, nil
}

// buildAll clones and builds each variant.
func buildAll(given *options, variants []*variant) error {
	if err := os.MkdirAll(given.Work, 0o755); err != nil {
		return err
	}
	for _, one := range variants {
		if err := one.clone(given.Revision, given.Work); err != nil {
			return err
		}
		if err := command(one.folder, given.Bench, "build"); err != nil {
			return err
		}
	}
	return nil
}

// results collects plays and errors. Its method add is safe for concurrent use; the fields may be read directly only
// after all plays have ended.
type results struct {
	mu       sync.Mutex
	plays    []play
	failures []error
}

func (r *results) add(done play, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failures = append(r.failures, err)
		return
	}
	r.plays = append(r.plays, done)
}

// playOne runs one day with one variant. The bench exits with an error if a rule was violated, but still writes the
// report, so its exit status counts only if the report is missing.
func playOne(given *options, one *variant, what pairing) (play, error) {
	file := filepath.Join(given.Work, fmt.Sprintf("%s-%s-%d.json", one.name, filepath.Base(what.day), what.seed))
	why := fmt.Sprintf("%s (%s; off: %s)", given.Why, one.name, strings.Join(one.off, ","))
	arguments := []string{"run", given.Site, what.day, "--seed", strconv.FormatUint(what.seed, 10), "--report", file, "--why", why}
	if !given.Charge {
		arguments = append(arguments, "--no-cpu")
	}
	if given.Small {
		arguments = append(arguments, "--small")
	}
	playing := exec.Command(given.Bench, arguments...)
	playing.Dir = one.folder
	printed, playError := playing.CombinedOutput()
	data, err := os.ReadFile(file)
	if err != nil {
		return play{}, fmt.Errorf("%s on %s, seed %d: %w: %s", one.name, what.day, what.seed, errors.Join(playError, err), outputTail(printed))
	}
	var parsed report
	if err := json.Unmarshal(data, &parsed); err != nil {
		return play{}, fmt.Errorf("%s: %w", file, err)
	}
	done := play{variant: one, pairing: what, score: parsed.Score}
	for rule := range parsed.Broken {
		done.broken = append(done.broken, rule)
	}
	return done, nil
}

// copyJournal copies the journal entries that runs added or changed in a clone (those that git status lists) to the
// journal folder. It does nothing if the folder is empty.
func copyJournal(clone, journal string) error {
	if journal == "" {
		return nil
	}
	listed := exec.Command("git", "status", "--porcelain", "--untracked-files=all", "--", "journal")
	listed.Dir = clone
	printed, err := listed.Output()
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(printed)) {
		name := strings.TrimSpace(line[2:])
		data, err := os.ReadFile(filepath.Join(clone, name))
		if err != nil {
			return err
		}
		target := filepath.Join(journal, strings.TrimPrefix(name, "journal/"))
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(target, data, 0o644); err != nil {
			return err
		}
	}
	return nil
}
