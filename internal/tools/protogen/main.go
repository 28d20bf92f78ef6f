// Command protogen compiles .proto files under a root folder and generates code with the plug-ins that go.mod pins, so
// that code generation needs no protoc, only the Go toolchain.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// plugins are the protoc plug-ins to run. They are tool dependencies of this module, pinned in go.mod.
var plugins = []string{"protoc-gen-go", "protoc-gen-connect-go"}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: protogen ROOT FILE...")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func generate(root string, files []string) error {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{root}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return err
	}
	var descriptors []*descriptorpb.FileDescriptorProto
	for _, file := range compiled {
		descriptors = append(descriptors, protoutil.ProtoFromFileDescriptor(file))
	}
	for _, plugin := range plugins {
		if err := run(plugin, root, files, descriptors); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

func run(plugin, root string, files []string, descriptors []*descriptorpb.FileDescriptorProto) error {
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: files,
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      descriptors,
	}
	input, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	command := exec.Command("go", "tool", plugin)
	command.Stdin = bytes.NewReader(input)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(output, response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("plug-in reported: %s", response.GetError())
	}
	for _, file := range response.File {
		path := filepath.Join(root, file.GetName())
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
