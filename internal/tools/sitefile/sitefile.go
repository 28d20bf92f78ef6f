// Package sitefile reads and writes the deployments that the bench plays, with the files that stand beside them.
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

// Write puts the site, named NAME.toml, into the folder together with the companions of the site file that it was
// made from (day recordings, CUT and wire.json). It returns the path of the new site file.
func Write(site map[string]any, name, originalPath, folder string) (string, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return "", errors.Wrap(err, "making the output folder")
	}
	content, err := toml.Marshal(site)
	if err != nil {
		return "", errors.Wrap(err, "writing the site")
	}
	path := filepath.Join(folder, name+".toml")
	if err := os.WriteFile(path, content, filePermission); err != nil {
		return "", errors.Wrap(err, "writing the site")
	}
	return path, copyCompanions(name, originalPath, folder)
}

func copyCompanions(name, originalPath, folder string) error {
	beside := filepath.Dir(originalPath)
	companions := map[string]string{
		strings.TrimSuffix(originalPath, ".toml") + ".days": name + ".days",
		filepath.Join(beside, "CUT"):                        "CUT",
		filepath.Join(beside, "wire.json"):                  "wire.json",
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
		return errors.Wrap(err, "copying a companion file")
	}
	return errors.Wrap(os.WriteFile(to, content, filePermission), "copying a companion file")
}
