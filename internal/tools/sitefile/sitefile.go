// Package sitefile reads and writes the site files (deployment descriptions) of the bench, with their companion files.
package sitefile

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

const (
	filePermission = 0o644
	folderMode     = 0o755
)

// Read decodes the TOML file at the path.
func Read(path string, into any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(toml.Unmarshal(content, into), path)
}

// Write writes the site to NAME.toml in the folder and copies the companion files of the original site file (day
// recordings, CUT and wire.json) to the same folder. It returns the path of the new site file.
func Write(site map[string]any, name, originalPath, folder string) (string, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return "", errors.Wrap(err, "create the output folder")
	}
	content, err := toml.Marshal(site)
	if err != nil {
		return "", errors.Wrap(err, "encode the site")
	}
	path := filepath.Join(folder, name+".toml")
	if err := os.WriteFile(path, content, filePermission); err != nil {
		return "", errors.Wrap(err, "write the site file")
	}
	return path, copyCompanions(name, originalPath, folder)
}

func copyCompanions(name, originalPath, folder string) error {
	originalFolder := filepath.Dir(originalPath)
	companions := map[string]string{
		strings.TrimSuffix(originalPath, ".toml") + ".days": name + ".days",
		filepath.Join(originalFolder, "CUT"):                "CUT",
		filepath.Join(originalFolder, "wire.json"):          "wire.json",
	}
	for from, to := range companions {
		if err := copyFile(from, filepath.Join(folder, to)); err != nil {
			return err
		}
	}
	return nil
}

func copyFile(from, to string) error {
	content, err := os.ReadFile(from)
	if err != nil {
		return errors.Wrap(err, "copy a companion file of the site")
	}
	return errors.Wrap(os.WriteFile(to, content, filePermission), "copy a companion file of the site")
}
