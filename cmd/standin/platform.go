package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/platform"
)

// platformFlags are the flags of the platform command.
type platformFlags struct {
	addr         string
	adminAddr    string
	documentFile string
	hostsFile    string
	fixtures     []string
	targetAddrs  []string
	peerAddrs    []string
}

// platformReady is printed as JSON once the platform serves.
type platformReady struct {
	Addr      string `json:"addr"`
	AdminAddr string `json:"admin_addr"`
}

func newPlatformCommand() *cobra.Command {
	flags := new(platformFlags)
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a configuration service and host list",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runPlatform(cmd, flags) },
	}
	cmd.Flags().StringVar(&flags.addr, "addr", "127.0.0.1:0", "address to be read at")
	cmd.Flags().StringVar(&flags.adminAddr, "admin-addr", "127.0.0.1:0", "address to be changed at")
	cmd.Flags().StringVar(&flags.documentFile, "document", "", "file with the document as JSON")
	cmd.Flags().StringSliceVar(&flags.fixtures, "fixture", nil, "make the document from these workloads")
	cmd.Flags().StringSliceVar(&flags.targetAddrs, "target-addr", nil, "addresses of the fixture's targets, in order")
	cmd.Flags().StringVar(&flags.hostsFile, "hosts", "", "file with the host list as JSON")
	cmd.Flags().StringSliceVar(&flags.peerAddrs, "host-addr", nil, "peer addresses to make the host list from, as host-1, host-2 and so on")
	cmd.MarkFlagsMutuallyExclusive("document", "fixture")
	cmd.MarkFlagsOneRequired("document", "fixture")
	cmd.MarkFlagsMutuallyExclusive("hosts", "host-addr")
	return cmd
}

func runPlatform(cmd *cobra.Command, flags *platformFlags) error {
	doc, err := flags.document()
	if err != nil {
		return err
	}
	hosts, err := flags.hosts()
	if err != nil {
		return err
	}
	p, err := platform.Start(platform.Settings{Addr: flags.addr, AdminAddr: flags.adminAddr, Document: doc, Hosts: hosts})
	if err != nil {
		return err
	}
	defer p.Close()
	if err := printReady(cmd, platformReady{Addr: p.Addr(), AdminAddr: p.AdminAddr()}); err != nil {
		return err
	}
	<-cmd.Context().Done()
	return nil
}

func (f *platformFlags) document() (*config.Document, error) {
	if f.documentFile != "" {
		doc := new(config.Document)
		return doc, readFile(f.documentFile, doc)
	}
	shapes, err := namedShapes(f.fixtures)
	if err != nil {
		return nil, err
	}
	doc, err := fixture.Document(f.targetAddrs, shapes...)
	if err != nil {
		return nil, fmt.Errorf("--target-addr: %w", err)
	}
	return doc, nil
}

func (f *platformFlags) hosts() (*model.HostList, error) {
	if f.hostsFile == "" {
		return fixture.Hosts(f.peerAddrs...), nil
	}
	list := new(model.HostList)
	return list, readFile(f.hostsFile, list)
}

func namedShapes(names []string) ([]fixture.Shape, error) {
	var shapes []fixture.Shape
	for _, name := range names {
		shape, err := fixture.Named(name)
		if err != nil {
			return nil, fmt.Errorf("--fixture: %w", err)
		}
		shapes = append(shapes, shape)
	}
	if len(shapes) == 0 {
		return nil, errors.New("--fixture: names no workload")
	}
	return shapes, nil
}

func readFile(path string, into any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func printReady(cmd *cobra.Command, ready any) error {
	return json.NewEncoder(cmd.OutOrStdout()).Encode(ready)
}
