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
// address, or "" if it was no controller started by this driver. All controllers share the
// loopback address, so the owner is the process that has the socket of the remote port open.
// The owner is needed so that a partition between a controller and machines also holds back
// the commands of the controller.
func (d *Driver) connectionOwner(remote string) string {
	if d.workersOnly {
		return "" // another process started the controllers
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

// socketInode returns the inode of the socket with the given local port on 127.0.0.1, or "" if
// there is none.
func socketInode(port uint16) string {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "" // this system has no /proc; the sender of commands is then unknown
	}
	local := fmt.Sprintf("0100007F:%04X", port)
	for s := bufio.NewScanner(bytes.NewReader(b)); s.Scan(); {
		if f := strings.Fields(s.Text()); len(f) > 9 && f[1] == local {
			return f[9]
		}
	}
	return ""
}

// hasSocket reports whether a process has the socket with the given inode open.
func hasSocket(pid int, inode string) bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, f := range files {
		if to, err := os.Readlink(f); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
