// Command overlay makes a new deployment for the bench out of a given site file and a small file of edits, so
// that deployments of our own are kept without a copy of the given ones.
//
//	overlay EDITS SITE OUTPUT-FOLDER
//
// The new site file and the files that must stand beside it (its day recordings, CUT and wire.json) go to
// OUTPUT-FOLDER, which should lie outside the repository.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

const (
	argumentCount  = 4
	filePermission = 0o644
	folderMode     = 0o755
)

// edits is one file of edits.
type edits struct {
	Name   string `toml:"name"`   // of the new site
	Set    []edit `toml:"set"`    // values that are replaced or added
	Append []edit `toml:"append"` // values that are added at the end of a list
	Remove []edit `toml:"remove"` // values or list entries that are taken out
}

// edit names a place in the site file and what is to stand there.
type edit struct {
	Path  string `toml:"path"`
	Value any    `toml:"value"`
}

func main() {
	if len(os.Args) != argumentCount {
		fmt.Fprintln(os.Stderr, "usage: overlay EDITS SITE OUTPUT-FOLDER")
		os.Exit(2)
	}
	path, err := overlay(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "overlay:", err)
		os.Exit(1)
	}
	fmt.Println(path)
}

// overlay writes the edited site and its companions and returns the path of the site file.
func overlay(editsPath, sitePath, folder string) (string, error) {
	var changes edits
	if err := readTOML(editsPath, &changes); err != nil {
		return "", err
	}
	if changes.Name == "" {
		return "", errors.Newf("%s: name is missing", editsPath)
	}
	site := map[string]any{}
	if err := readTOML(sitePath, &site); err != nil {
		return "", err
	}
	site["name"] = changes.Name
	if err := apply(site, &changes); err != nil {
		return "", errors.Wrap(err, editsPath)
	}
	return write(site, changes.Name, sitePath, folder)
}

// apply makes all changes to the site, in the order set, append, remove.
func apply(site map[string]any, changes *edits) error {
	for _, change := range changes.Set {
		if err := setAt(site, change.Path, change.Value); err != nil {
			return err
		}
	}
	for _, change := range changes.Append {
		if err := appendAt(site, change.Path, change.Value); err != nil {
			return err
		}
	}
	for _, change := range changes.Remove {
		if err := removeAt(site, change.Path); err != nil {
			return err
		}
	}
	return nil
}

func write(site map[string]any, name, sitePath, folder string) (string, error) {
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
	recordings := strings.TrimSuffix(sitePath, ".toml") + ".days"
	companions := map[string]string{
		recordings: name + ".days",
		filepath.Join(filepath.Dir(sitePath), "CUT"):       "CUT",
		filepath.Join(filepath.Dir(sitePath), "wire.json"): "wire.json",
	}
	for from, to := range companions {
		if err := copyFile(from, filepath.Join(folder, to)); err != nil {
			return "", err
		}
	}
	return path, nil
}

func copyFile(from, to string) error {
	content, err := os.ReadFile(from)
	if err != nil {
		return errors.Wrap(err, "copying a companion file")
	}
	return errors.Wrap(os.WriteFile(to, content, filePermission), "copying a companion file")
}

func readTOML(path string, into any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(toml.Unmarshal(content, into), path)
}
