package planfile

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func golden(t *testing.T, name string, written []byte) string {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(path, written, 0o600))
	}
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(content)
}

// Guards the file format, which reviewers and other versions of the program read: a plan with comments is written as
// recorded, and a recorded file is read, written unchanged, has the recorded digest, and its stages pass verification.
func TestGoldenPlanFile(t *testing.T) {
	file, input, migrationPlan := planExampleFile(t)
	planned := file.WithPlan(migrationPlan)
	reviewed, err := planned.Write(migrationPlan)
	require.NoError(t, err)
	require.Equal(t, golden(t, "golden-reviewed.toml", reviewed), string(reviewed))

	bare, err := planned.Write(nil)
	require.NoError(t, err)
	stored := golden(t, "golden-plan.toml", bare)
	read, err := Parse([]byte(stored))
	require.NoError(t, err)
	again, err := read.Write(nil)
	require.NoError(t, err)
	require.Equal(t, stored, string(again))
	digest, err := read.Digest()
	require.NoError(t, err)
	require.Equal(t, golden(t, "golden-plan.digest", []byte(digest+"\n")), digest+"\n")

	fromReview, err := Parse([]byte(golden(t, "golden-reviewed.toml", reviewed)))
	require.NoError(t, err)
	reviewedDigest, err := fromReview.Digest()
	require.NoError(t, err)
	require.Equal(t, digest, reviewedDigest, "comments do not affect the digest")

	checked, err := read.Plan(input)
	require.NoError(t, err)
	var order []string
	for _, stage := range checked.Stages {
		for _, replacement := range stage.Replacements {
			order = append(order, replacement.Old.ID+" by "+replacement.New.ID)
		}
	}
	require.Equal(t, len(file.Replacements), len(order))
}
