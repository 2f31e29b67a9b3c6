package sockets

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// connectionOwner is the controller that a connection to a machine's address comes from,
// "" if it is none that was started here. All of them share one address, so it
// is found by which process has the socket at the other end: a partition between a
// controller and machines holds its commands too.
func (d *Driver) connectionOwner(remote string) string {
	if d.workersOnly {
		return "" // the controllers are not processes of this one
	}
	_, port, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return ""
	}
	inode := socketInode(uint16(n))
	if inode == "" {
		return ""
	}
	type process struct {
		name string
		pid  int
	}
	ch := make(chan []process, 1)
	if !d.onActor(func() {
		var l []process
		for _, n := range d.controllers {
			if n.cmd != nil {
				l = append(l, process{n.name, n.cmd.Process.Pid})
			}
		}
		ch <- l
	}) {
		return ""
	}
	select {
	case l := <-ch:
		for _, p := range l {
			if hasSocket(p.pid, inode) {
				return p.name
			}
		}
	case <-d.stop:
	}
	return ""
}

// socketInode is the number of the socket on loopback with a local port.
func socketInode(port uint16) string {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "" // not on this system; orders are nobody's then
	}
	local := fmt.Sprintf("0100007F:%04X", port)
	for s := bufio.NewScanner(bytes.NewReader(b)); s.Scan(); {
		if f := strings.Fields(s.Text()); len(f) > 9 && f[1] == local {
			return f[9]
		}
	}
	return ""
}

func hasSocket(pid int, inode string) bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, f := range files {
		if to, err := os.Readlink(f); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
