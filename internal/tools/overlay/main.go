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

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/tools/sitefile"
)

const argumentCount = 4

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
	if err := sitefile.Read(editsPath, &changes); err != nil {
		return "", err
	}
	if changes.Name == "" {
		return "", errors.Newf("%s: name is missing", editsPath)
	}
	site := map[string]any{}
	if err := sitefile.Read(sitePath, &site); err != nil {
		return "", err
	}
	site["name"] = changes.Name
	if err := apply(site, &changes); err != nil {
		return "", errors.Wrap(err, editsPath)
	}
	return sitefile.Write(site, changes.Name, sitePath, folder)
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
