// Command protogen compiles the project's protobuf schemas and runs the code generators
// declared in go.mod, so that no protocol compiler needs to be installed.
//
//	go run ./internal/tools/protogen   (at the root of the repository)
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/pluginpb"
)

var schemas = []string{"reedtrack/outputs/v1/outputs.proto", "reedtrack/outputs/v1/index.proto"}

var generators = []string{"google.golang.org/protobuf/cmd/protoc-gen-go", "connectrpc.com/connect/cmd/protoc-gen-connect-go"}

func main() {
	if err := generate(); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func generate() error {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{"proto"}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), schemas...)
	if err != nil {
		return err
	}
	module := "reedtrack/"
	req := &pluginpb.CodeGeneratorRequest{FileToGenerate: schemas, Parameter: proto.String("paths=import")}
	for _, f := range files {
		req.ProtoFile = append(req.ProtoFile, protoutil.ProtoFromFileDescriptor(f))
	}
	raw, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	for _, g := range generators {
		cmd := exec.Command("go", "tool", g)
		cmd.Stdin, cmd.Stderr = bytes.NewReader(raw), os.Stderr
		out, err := cmd.Output()
		if err != nil {
			return fmt.Errorf("%s: %w", g, err)
		}
		var resp pluginpb.CodeGeneratorResponse
		if err := proto.Unmarshal(out, &resp); err != nil {
			return fmt.Errorf("%s: %w", g, err)
		}
		if resp.Error != nil {
			return fmt.Errorf("%s: %s", g, *resp.Error)
		}
		for _, f := range resp.File {
			name := filepath.FromSlash(strings.TrimPrefix(f.GetName(), module))
			if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
				return err
			}
			if err := os.WriteFile(name, []byte(f.GetContent()), 0o644); err != nil {
				return err
			}
			fmt.Println("wrote", name)
		}
	}
	return nil
}
