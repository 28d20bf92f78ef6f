package reconfig

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// spy records the calls of a participant.
type spy struct {
	name string
	log  *[]string
}

func (s spy) say(what string) { *s.log = append(*s.log, s.name+" "+what) }
func (s spy) Commit()         { s.say("commits") }
func (s spy) Abort()          { s.say("aborts") }

func TestApply(t *testing.T) {
	for name, c := range map[string]struct {
		fails, idle string
		want        string
	}{
		"all can":           {"", "", "a prepares, b prepares, c prepares, a commits, b commits, c commits"},
		"one has no change": {"", "b", "a prepares, b prepares, c prepares, a commits, c commits"},
		"the last cannot":   {"c", "", "a prepares, b prepares, c prepares, b aborts, a aborts, c: taken"},
		"the first cannot":  {"a", "", "a prepares, a: taken"},
	} {
		var log []string
		var parts []Participant[int]
		for _, name := range []string{"a", "b", "c"} {
			parts = append(parts, Participant[int]{name, func(int) (Change, error) {
				s := spy{name, &log}
				s.say("prepares")
				switch name {
				case c.fails:
					return nil, errors.New("taken")
				case c.idle:
					return nil, nil
				}
				return s, nil
			}})
		}
		if err := Apply(parts, 1); err != nil {
			log = append(log, fmt.Sprint(err))
		}
		if diff := cmp.Diff(c.want, strings.Join(log, ", ")); diff != "" {
			t.Errorf("%s:\n%s", name, diff)
		}
	}
}
