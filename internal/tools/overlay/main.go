// Command overlay derives a new deployment for the bench from an existing site file and a small file of edits, so
// that the repository stores the edits only and no copy of the original site file.
//
//	overlay EDITS SITE OUTPUT-FOLDER
//
// The new site file and its required companion files (day recordings, CUT and wire.json) are written to
// OUTPUT-FOLDER, which should be outside the repository.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/tools/sitefile"
)

const argumentCount = 4

// edits is the content of a file of edits.
type edits struct {
	Name   string `toml:"name"`   // name of the new site
	Set    []edit `toml:"set"`    // values to replace or add
	Append []edit `toml:"append"` // values to append to a list
	Remove []edit `toml:"remove"` // values or list entries to remove
}

// edit is a path in the site file and the value to set or append there; removals have no value.
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
		return "", errors.Newf("%s: the key \"name\" is missing or empty", editsPath)
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

// apply applies all edits to the site, in the order set, append, remove.
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
