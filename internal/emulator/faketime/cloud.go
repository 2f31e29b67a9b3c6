package faketime

import (
	"net/http"

	"github.com/zinclb/zinclb/internal/cloud"
	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/wire"
)

// executeCloudEffect starts a request to the cloud.
func (n *Controller) executeCloudEffect(effect any) {
	switch e := effect.(type) {
	case core.ListMachineTypes:
		n.listTypes(func(listed core.MachineTypesListed) { listed.FencingToken = e.FencingToken; n.step(listed) })
	case core.ListMachines:
		n.listMachines(core.MachinesListed{}, "", e.Gap, func(listed core.MachinesListed) { listed.FencingToken = e.FencingToken; n.step(listed) })
	case core.CallCloudForPeer:
		n.serveCloudCall(e)
	case core.ScaleOut:
		n.scaleOut(e, func(done core.ScaledOut) { n.step(done) })
	case core.ScaleIn:
		n.scaleIn(e.Names, func(done core.ScaledIn) { done.FencingToken = e.FencingToken; n.step(done) })
	}
}

func (n *Controller) listTypes(done func(core.MachineTypesListed)) {
	n.call(environment.CloudHost, wire.Types{}, cloudTimeout, func(status int, body any) {
		listed := core.MachineTypesListed{Err: statusError(status)}
		if answer, ok := body.(wire.TypesAnswer); ok && listed.Err == nil {
			for _, machineType := range answer.Types {
				listed.Types = append(listed.Types, cloud.MachineType(machineType).ToCore())
			}
		}
		done(listed)
	})
}

func (n *Controller) scaleOut(e core.ScaleOut, done func(core.ScaledOut)) {
	request := wire.Rent{Request: e.Name, Type: e.Type, Zone: e.Zone, Spot: e.Spot, Count: e.Count}
	n.call(environment.CloudHost, request, cloudTimeout, func(status int, body any) {
		names, _ := body.(wire.MachineNames)
		done(core.ScaledOut{Request: e, Names: names.Machines, Status: status})
	})
}

func (n *Controller) scaleIn(names []string, done func(core.ScaledIn)) {
	n.call(environment.CloudHost, wire.Release{MachineNames: wire.MachineNames{Machines: names}}, cloudTimeout, func(status int, _ any) {
		done(core.ScaledIn{Names: names, OK: status == http.StatusOK})
	})
}

// serveCloudCall sends a request to the cloud on behalf of another controller.
func (n *Controller) serveCloudCall(e core.CallCloudForPeer) {
	done := func(result core.CloudResult, err error) {
		if err == nil && result.Status == 0 {
			result.Status = http.StatusOK
		}
		n.step(core.CloudCalledForPeer{RequestID: e.RequestID, Answer: result})
	}
	switch {
	case e.Call.ListTypes:
		n.listTypes(func(listed core.MachineTypesListed) { done(core.CloudResult{Types: listed.Types}, listed.Err) })
	case e.Call.ListMachines:
		n.listMachines(core.MachinesListed{}, "", e.Call.Gap, func(listed core.MachinesListed) { done(core.CloudResult{List: listed.List}, listed.Err) })
	case e.Call.ScaleOut != nil:
		n.scaleOut(*e.Call.ScaleOut, func(r core.ScaledOut) { done(core.CloudResult{Status: r.Status, Names: r.Names}, errNoAnswer) })
	default:
		n.scaleIn(e.Call.ScaleIn, func(r core.ScaledIn) {
			if r.OK {
				done(core.CloudResult{}, nil)
			} else {
				done(core.CloudResult{}, errNoAnswer)
			}
		})
	}
}

// listMachines reads the list of machines page by page, with a pause of gap between pages.
// listed has the machines read so far, and after is the name of the last one.
func (n *Controller) listMachines(listed core.MachinesListed, after string, gap int64, done func(core.MachinesListed)) {
	n.call(environment.CloudHost, wire.Machines{After: after, Limit: core.ListPage}, cloudTimeout, func(status int, body any) {
		answer, ok := body.(wire.MachinesAnswer)
		if !ok || status != http.StatusOK {
			done(core.MachinesListed{Err: statusError(status)})
			return
		}
		for _, m := range answer.Machines {
			listed.List = append(listed.List, cloud.MachineListing(m).ToCore())
			after = m.Name
		}
		if !answer.More || len(answer.Machines) == 0 {
			done(listed)
			return
		}
		n.callAfter(gap, func() { n.listMachines(listed, after, gap, done) })
	})
}
