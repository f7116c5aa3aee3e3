package cli

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
)

func newEvacuations(o *options) *cobra.Command {
	var host string
	cmd := &cobra.Command{
		Use:   "evacuations --host ADDR",
		Short: "List the evacuations of failure domains that a host on the users' platform knows",
		Args:  exactArgs(),
		RunE:  func(*cobra.Command, []string) error { return listEvacuations(o, host) },
	}
	cmd.Flags().StringVar(&host, "host", "", "metrics address of the host, IP:PORT")
	return cmd
}

func listEvacuations(o *options, host string) error {
	if _, _, err := net.SplitHostPort(host); err != nil {
		return usagef("--host: %q is not IP:PORT", host)
	}
	client := httpjson.New()
	defer client.Close()
	resp, err := client.Do(&httpjson.Request{Method: http.MethodGet, URL: "http://" + host + adminapi.PathEvacuations})
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return fmt.Errorf("%s: status %d", host, resp.Status)
	}
	list := []adminapi.Evacuation{}
	if err := json.Unmarshal(resp.Body, &list); err != nil {
		return fmt.Errorf("%s: %w", host, err)
	}
	return o.render(list, func(t table.Writer) { drawEvacuations(t, list) })
}

func drawEvacuations(t table.Writer, list []adminapi.Evacuation) {
	t.AppendHeader(table.Row{"failure domain", "revision", "since", "targets", "calls in flight"})
	for _, e := range list {
		t.AppendRow(table.Row{e.Domain, e.Revision, e.Since.Format(time.RFC3339), e.Targets, e.InFlight})
	}
}
