package sockets

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/meter"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// NewWorkerDriver makes a driver of an environment of workers alone, which report to
// controllers at some addresses. Each worker has connections of its own, as
// one on a machine of its own has.
func NewWorkerDriver(cfg environment.Config, fronts []string, o Options) (*Driver, error) {
	d := newDriver(cfg, o)
	w, err := environment.NewWorkerEnvironment(cfg, d.onEvent)
	if err != nil {
		return nil, err
	}
	d.env, d.workersOnly = w, true
	d.reportClients, d.workerTokens = map[string]*http.Client{}, map[string]uint64{}
	for i, front := range fronts {
		d.controllers = append(d.controllers, &controllerProcess{driver: d, index: i, name: environment.ControllerName(i), publicAddr: front})
	}
	return d, nil
}

// RunWorkers serves the workers until the channel is closed.
func (d *Driver) RunWorkers(end <-chan struct{}) {
	defer d.close()
	d.loop(end)
}

// Tell gives the environment a message about a worker, and calls then, if it is not nil,
// when that has taken effect.
func (d *Driver) Tell(msg any, then func()) {
	d.onActor(func() {
		d.step(msg)
		if then != nil {
			then()
		}
	})
}

// Endpoint is the address of a worker.
func (d *Driver) Endpoint(machine string) string { return d.endpoint(machine) }

// reportClient is the client by which a worker reports.
func (d *Driver) reportClient(machine string) *http.Client {
	if !d.workersOnly {
		return d.peerReportClient
	}
	if d.reportClients[machine] == nil {
		d.reportClients[machine] = d.ownClient(machine)
	}
	return d.reportClients[machine]
}

// ownClient makes a client whose connections are one worker's alone.
func (d *Driver) ownClient(machine string) *http.Client {
	c := client(false)
	names := map[string]string{}
	for _, n := range d.controllers {
		names[n.publicAddr] = n.name
	}
	var dialer net.Dialer
	c.Transport = &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return d.Meter.Conn(conn, meter.Key{Host: machine, Kind: ReportKind}, meter.Key{Host: names[addr], Kind: ReportKind}), nil
		},
	}
	return c
}

// noteToken records the fencing token of an answer that a worker got; the actor calls it.
func (d *Driver) noteToken(request any, t environment.AskAnswer) {
	report, isReport := request.(*wire.Report)
	answer, isAnswer := t.Body.(wire.HeartbeatAnswer)
	if d.OnTokenAccepted == nil || !isReport || !isAnswer || t.Status != http.StatusOK || answer.Token <= d.workerTokens[report.Machine] {
		return
	}
	d.workerTokens[report.Machine] = answer.Token
	d.OnTokenAccepted(answer.Token, d.now())
}

// ReportKind is the kind under which reports are counted, for the worker and for the
// controller.
const ReportKind = "report"

// countRequest counts a request that a controller has answered.
func (d *Driver) countRequest(node string, a environment.Ask, status int) {
	kind := ""
	switch q := a.Request.(type) {
	case *wire.Report:
		kind = ReportKind
		d.Meter.Add(meter.Key{Host: q.Machine, Kind: kind}, meter.Count{Messages: 1})
	case *wire.Job, wire.RawSubmission:
		kind = "submission"
	case wire.Poll:
		kind = "poll"
	case wire.Cancel:
		kind = "cancellation"
	case wire.ReadyProbe:
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
