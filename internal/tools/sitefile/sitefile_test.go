package sitefile

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWriteCopiesCompanionsUnderTheNewName(t *testing.T) {
	original := filepath.Join(t.TempDir(), "given.toml")
	for _, name := range []string{"given.days", "CUT", "wire.json"} {
		content := []byte("content of " + name)
		require.NoError(t, os.WriteFile(filepath.Join(filepath.Dir(original), name), content, filePermission))
	}
	folder := filepath.Join(t.TempDir(), "made")

	path, err := Write(map[string]any{"length_s": 34.0}, "own", original, folder)

	require.NoError(t, err)
	require.Equal(t, filepath.Join(folder, "own.toml"), path)
	site := map[string]any{}
	require.NoError(t, Read(path, &site))
	require.Equal(t, 34.0, site["length_s"])
	for made, from := range map[string]string{"own.days": "given.days", "CUT": "CUT", "wire.json": "wire.json"} {
		content, err := os.ReadFile(filepath.Join(folder, made))
		require.NoError(t, err)
		require.Equal(t, "content of "+from, string(content))
	}
}

func TestWriteFailsWithoutCompanions(t *testing.T) {
	_, err := Write(map[string]any{}, "own", filepath.Join(t.TempDir(), "given.toml"), t.TempDir())

	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestReadNamesTheFileThatIsNoTOML(t *testing.T) {
	path := filepath.Join(t.TempDir(), "broken.toml")
	require.NoError(t, os.WriteFile(path, []byte("a = ="), filePermission))

	require.ErrorContains(t, Read(path, &map[string]any{}), path)
}
