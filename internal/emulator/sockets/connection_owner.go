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

// connectionOwner returns the name of the controller that opened a connection to a machine's
// address, or "" if it was not opened by a controller that this driver started. All controllers
// share the loopback address, so the owner is the process that has the socket of the remote port
// open. The owner is needed so that a partition between a controller and machines also delays the
// commands of the controller.
func (d *Driver) connectionOwner(remote string) string {
	if d.workersOnly {
		return "" // another process started the controllers
	}
	_, port, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return ""
	}
	inode := socketInode(uint16(portNumber))
	if inode == "" {
		return ""
	}
	type process struct {
		name string
		pid  int
	}
	result := make(chan []process, 1)
	if !d.onActor(func() {
		var processes []process
		for _, n := range d.controllers {
			if n.cmd != nil {
				processes = append(processes, process{n.name, n.cmd.Process.Pid})
			}
		}
		result <- processes
	}) {
		return ""
	}
	select {
	case processes := <-result:
		for _, p := range processes {
			if hasSocket(p.pid, inode) {
				return p.name
			}
		}
	case <-d.stop:
	}
	return ""
}

// socketInode returns the inode of the socket with the given local port on 127.0.0.1, or "" if
// there is none.
func socketInode(port uint16) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "" // this system has no /proc; the sender of commands is then unknown
	}
	local := fmt.Sprintf("0100007F:%04X", port)
	for lines := bufio.NewScanner(bytes.NewReader(table)); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[1] == local {
			return fields[9]
		}
	}
	return ""
}

// hasSocket reports whether a process has the socket with the given inode open.
func hasSocket(pid int, inode string) bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, file := range files {
		if target, err := os.Readlink(file); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
