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

// NewWorkerDriver returns a driver of an environment that consists of workers only, which
// report to the controllers at the given addresses. Each worker has its own connections, as
// it would have on its own machine.
func NewWorkerDriver(cfg environment.Config, controllerAddresses []string, options Options) (*Driver, error) {
	d := newDriver(cfg, options)
	env, err := environment.NewWorkerEnvironment(cfg, d.onEvent)
	if err != nil {
		return nil, err
	}
	d.env, d.workersOnly = env, true
	d.reportClients, d.workerTokens = map[string]*http.Client{}, map[string]uint64{}
	for i, publicAddr := range controllerAddresses {
		d.controllers = append(d.controllers, &controllerProcess{driver: d, index: i, name: environment.ControllerName(i), publicAddr: publicAddr})
	}
	return d, nil
}

// RunWorkers serves the workers until end is closed.
func (d *Driver) RunWorkers(end <-chan struct{}) {
	defer d.close()
	d.loop(end)
}

// PostMessage queues a message about a worker for the environment. If done is not nil, it is
// called once the message has taken effect.
func (d *Driver) PostMessage(msg any, done func()) {
	d.onActor(func() {
		d.step(msg)
		if done != nil {
			done()
		}
	})
}

// Endpoint returns the address of a worker.
func (d *Driver) Endpoint(machine string) string { return d.endpoint(machine) }

// reportClient returns the HTTP client with which a worker reports. It must be called by the
// actor.
func (d *Driver) reportClient(machine string) *http.Client {
	if !d.workersOnly {
		return d.peerReportClient
	}
	if d.reportClients[machine] == nil {
		d.reportClients[machine] = d.newReportClient(machine)
	}
	return d.reportClients[machine]
}

// newReportClient returns an HTTP client whose connections are used by one worker only.
func (d *Driver) newReportClient(machine string) *http.Client {
	client := newClient(false)
	names := map[string]string{}
	for _, controller := range d.controllers {
		names[controller.publicAddr] = controller.name
	}
	var dialer net.Dialer
	client.Transport = &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return d.Meter.Conn(conn, meter.Key{Host: machine, Kind: ReportKind}, meter.Key{Host: names[addr], Kind: ReportKind}), nil
		},
	}
	return client
}

// recordWorkerToken records the fencing token of an answer to a worker if it is the highest
// so far. It must be called by the actor.
func (d *Driver) recordWorkerToken(request any, response environment.AskAnswer) {
	report, isReport := request.(*wire.Report)
	answer, isAnswer := response.Body.(wire.HeartbeatAnswer)
	if d.OnTokenAccepted == nil || !isReport || !isAnswer || response.Status != http.StatusOK || answer.Token <= d.workerTokens[report.Machine] {
		return
	}
	d.workerTokens[report.Machine] = answer.Token
	d.OnTokenAccepted(answer.Token, d.now())
}

// ReportKind is the message kind under which reports are counted, both for the worker and for
// the controller.
const ReportKind = "report"

// countRequest counts a request that a controller has answered; a report counts for its worker
// as well.
func (d *Driver) countRequest(controller string, ask environment.Ask, status int) {
	kind := ""
	switch request := ask.Request.(type) {
	case *wire.Report:
		kind = ReportKind
		d.Meter.Add(meter.Key{Host: request.Machine, Kind: kind}, meter.Count{Messages: 1})
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
	count := meter.Count{Messages: 1}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		count.Refused = 1
	}
	d.Meter.Add(meter.Key{Host: controller, Kind: kind}, count)
}
