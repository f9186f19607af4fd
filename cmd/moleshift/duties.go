package main

// duties.go owns how the duties of a running router are told to people. It must only ask, never change
// anything.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"moleshift/router"
)

type statusCmd struct {
	Admin string        `default:"127.0.0.1:7071" help:"Where the router has its page for operators (admin.listen)."`
	JSON  bool          `help:"Print the page as it is."`
	Wait  time.Duration `default:"5s" help:"How long to wait for the router."`
}

// Run asks and prints.
func (s *statusCmd) Run() error {
	body, err := page(s.Admin, "/duties", s.Wait)
	if err != nil {
		return err
	}
	if s.JSON {
		_, err := os.Stdout.Write(body)
		return err
	}
	var d router.DutiesStatus
	if err := json.Unmarshal(body, &d); err != nil {
		return err
	}
	printDuties(os.Stdout, &d)
	return nil
}

// page reads one of the router's pages for operators.
func page(at, path string, wait time.Duration) ([]byte, error) {
	client := http.Client{Timeout: wait}
	resp, err := client.Get("http://" + at + path)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", resp.Status, body)
	}
	return body, nil
}

func printDuties(out io.Writer, d *router.DutiesStatus) {
	plan := "no plan: no majority of the seats is heard of"
	if d.Planned {
		plan = fmt.Sprintf("planned by seat %d for seats %v", d.Leader, d.Active)
	}
	fmt.Fprintf(out, "instance %s, seat %d of %d, %s; %s\n", d.Instance, d.Seat, d.Seats, d.Role, plan)
	if d.Barred {
		fmt.Fprintln(out, "ANOTHER INSTANCE HAS THIS SEAT: this one performs nothing")
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "\ninstances (view %d)\tseat\taddress\tsince\n", d.Revision)
	for _, p := range d.Instances {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\n", p.Name, p.Seat, p.Address, p.Since.Format(time.RFC3339))
	}
	t.Flush()
	fmt.Fprintf(t, "\nduty\tinterval\tholder now\tsubstitute\tlast by\tago\twhy\tfound\n")
	seat := func(n int) string {
		if n < 0 {
			return "-"
		}
		return fmt.Sprint(n)
	}
	ms := func(x float64) time.Duration {
		return time.Duration(x * float64(time.Millisecond)).Round(time.Millisecond)
	}
	for _, one := range d.Duties {
		ago := "-"
		if one.LastSeat >= 0 {
			ago = ms(one.LastAgoMS).String()
		}
		fmt.Fprintf(
			t,
			"%s\t%v\t%s\t%s\t%s\t%s\t%s\t%s\n",
			one.Name,
			ms(one.IntervalMS),
			seat(one.Holder),
			seat(one.Substitute),
			seat(one.LastSeat),
			ago,
			one.LastWhy,
			one.Found,
		)
	}
	t.Flush()
	fmt.Fprintf(
		out,
		"\nperformed here: %d in turn, %d for an absent holder, %d for one unheard of; heard %d, odd %d, dropped %d\n",
		d.Performed["in turn"],
		d.Performed["holder absent"],
		d.Performed["holder unheard"],
		d.Heard,
		d.Odd,
		d.Dropped,
	)
}
