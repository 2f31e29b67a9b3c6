package sockets

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/wire"
	"github.com/zinclb/zinclb/internal/emulator/world"
)

// NewWorkers makes a driver of a world of workers alone, which report to
// controllers at the addresses fronts. Each worker has connections of its own, as
// one on a machine of its own has.
func NewWorkers(cfg world.Config, fronts []string, o Options) (*Driver, error) {
	d := newDriver(cfg, o)
	w, err := world.NewWorkers(cfg, d.happened)
	if err != nil {
		return nil, err
	}
	d.w, d.workersOnly = w, true
	d.reports, d.tokens = map[string]*http.Client{}, map[string]uint64{}
	for i, front := range fronts {
		d.nodes = append(d.nodes, &proc{d: d, index: i, name: world.NodeName(i), front: front})
	}
	return d, nil
}

// RunWorkers serves the workers until the channel is closed.
func (d *Driver) RunWorkers(end <-chan struct{}) {
	defer d.close()
	d.loop(end)
}

// Tell gives the world a message about a worker, and calls then, if it is not nil,
// when that has taken effect.
func (d *Driver) Tell(msg any, then func()) {
	d.do(func() {
		d.step(msg)
		if then != nil {
			then()
		}
	})
}

// Endpoint is the address of a worker's own.
func (d *Driver) Endpoint(machine string) string { return d.endpoint(machine) }

// reporter is the client by which a worker reports.
func (d *Driver) reporter(machine string) *http.Client {
	if !d.workersOnly {
		return d.beats
	}
	if d.reports[machine] == nil {
		d.reports[machine] = d.ownClient(machine)
	}
	return d.reports[machine]
}

// ownClient makes a client whose connections are one worker's alone.
func (d *Driver) ownClient(machine string) *http.Client {
	c := client(false)
	names := map[string]string{}
	for _, n := range d.nodes {
		names[n.front] = n.name
	}
	var dialer net.Dialer
	c.Transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return d.Meter.Conn(conn, meter.Key{Host: machine, Kind: ReportKind}, meter.Key{Host: names[addr], Kind: ReportKind}), nil
		}}
	return c
}

// took notes the token of an answer that a worker got; the actor calls it.
func (d *Driver) took(request any, t world.Told) {
	report, isReport := request.(*wire.Report)
	answer, isAnswer := t.Body.(wire.BeatAnswer)
	if d.Accepted == nil || !isReport || !isAnswer || t.Status != http.StatusOK || answer.Token <= d.tokens[report.Machine] {
		return
	}
	d.tokens[report.Machine] = answer.Token
	d.Accepted(answer.Token, d.now())
}

// ReportKind is the kind under which reports are counted, for the worker and for the
// controller.
const ReportKind = "report"

// counted counts a request that a controller has answered.
func (d *Driver) counted(node string, a world.Ask, status int) {
	kind := ""
	switch q := a.Request.(type) {
	case *wire.Report:
		kind = ReportKind
		d.Meter.Add(meter.Key{Host: q.Machine, Kind: kind}, meter.Count{Messages: 1})
	case *wire.Job, wire.Raw:
		kind = "submission"
	case wire.Poll:
		kind = "poll"
	case wire.Withdraw:
		kind = "cancellation"
	case wire.Ready:
		kind = "readiness"
	default:
		kind = "other"
	}
	c := meter.Count{Messages: 1}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		c.Refused = 1
	}
	d.Meter.Add(meter.Key{Host: node, Kind: kind}, c)
}
