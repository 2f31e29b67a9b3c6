package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// object is a JSON object.
type object map[string]any

// encode encodes a value as JSON.
func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// decode decodes JSON; a wrong text leaves the value as it is.
func decode(text []byte, v any) { _ = json.Unmarshal(text, v) }

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(body))
}

func readBody(r *http.Request) []byte {
	body, _ := io.ReadAll(r.Body)
	return body
}

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
}

func (r *recorder) add(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), line)
}

// violation records that a rule was broken.
func (r *recorder) violation(line string) {
	r.add("RULE BROKEN: " + line)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, line)
}

func (r *recorder) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

// controller is one controller process.
type controller struct {
	label, zone, front, back, state string
	config                          string
	process                         *exec.Cmd
	done                            chan struct{}
}

// jobSpec is a job as its user submits it, with the time that its tasks run.
type jobSpec struct {
	ID     string  `json:"name_id"`
	Image  string  `json:"seedstock"`
	CPUs   float64 `json:"vcpus"`
	GPUs   float64 `json:"gpus"`
	MemGB  float64 `json:"mem_gb"`
	PullGB float64 `json:"pull_gb"`
	body   object
	run    func(hand string) time.Duration
}

// world is everything that the controllers of a case deal with.
type world struct {
	settings    settings
	state       *stateService
	cloud       *cloudService
	controllers []*controller
	record      *recorder
	program     []string
	dir         string

	mu   sync.Mutex
	jobs map[string]*jobSpec
	// on has the machines that each task is on, done the tasks that are done.
	on   map[string][]string
	done map[string]bool
	over bool
}

// ended reports whether the case is over.
func (w *world) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// jobOf returns the job of a task, or nil.
func (w *world) jobOf(hand string) *jobSpec {
	id, _, _ := strings.Cut(hand, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

func (w *world) isDone(hand string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[hand]
}

// taskEnters records that a task is on a machine from now on.
func (w *world) taskEnters(h *handState, machine string) {
	w.mu.Lock()
	others := append([]string(nil), w.on[h.Hand]...)
	w.on[h.Hand] = append(w.on[h.Hand], machine)
	w.mu.Unlock()
	w.record.add(fmt.Sprintf("%s: %s try %d starts", machine, h.Hand, h.Try))
	if len(others) > 0 {
		w.record.violation(fmt.Sprintf("ran_twice: %s try %d starts on %s while it is on %s", h.Hand, h.Try, machine, strings.Join(others, ", ")))
	}
}

// taskLeaves records that a task is not on a machine any more.
func (w *world) taskLeaves(h *handState, machine, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, name := range w.on[h.Hand] {
		if name == machine {
			w.on[h.Hand] = append(w.on[h.Hand][:i:i], w.on[h.Hand][i+1:]...)
			break
		}
	}
	if cause == "done" {
		w.done[h.Hand] = true
	}
	w.record.add(fmt.Sprintf("%s: %s try %d ends, %s", machine, h.Hand, h.Try, cause))
}

// checkLine checks that an answer to a worker or user has no line that is too long.
func (w *world) checkLine(to string, text []byte) {
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		if len(line) > maxBody {
			w.record.violation(fmt.Sprintf("an answer to %s has a line of %d bytes", to, len(line)))
		}
	}
}

// controllerNamed returns the number of the controller that a redirection names, or -1.
func (w *world) controllerNamed(text []byte) int {
	var reply struct {
		Foreman string `json:"foreman"`
	}
	decode(text, &reply)
	for i, c := range w.controllers {
		if c.label == reply.Foreman {
			return i
		}
	}
	return -1
}

// Ports of listeners: below those that the system gives to outgoing connections. Deployments
// that are played at the same time have numbers of their own, and each its own ports.
const (
	firstPort = 20_000
	ports     = 1200
)

// listen returns a listener on a free port of the loopback interface.
func listen() (net.Listener, error) {
	var listener net.Listener
	err := fmt.Errorf("no free port")
	number, _ := strconv.Atoi(os.Getenv("DEPLOYMENT"))
	for range 100 {
		listener, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+number*ports+rand.IntN(ports)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// serve serves a handler on a free port and returns its address.
func serve(handler http.Handler) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// freeAddresses returns addresses with ports that are free now.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for range n {
		listener, err := listen()
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// runCommand returns the run command of the deploy file.
func runCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `" `)), nil
		}
	}
	return nil, fmt.Errorf("deploy/service.toml has no run command")
}

// label returns the name of a controller.
func label(number int) string { return fmt.Sprintf("stoker-%d", number) }

// startControllers writes the settings of the controllers and starts them.
func (w *world) startControllers() error {
	cloud, err := serve(w.cloud.handler())
	if err != nil {
		return err
	}
	var states []string
	for i := range w.settings.Size {
		state, err := serve(w.state.handler(label(i)))
		if err != nil {
			return err
		}
		states = append(states, state)
	}
	// These come last, so that no listener of the stand-ins takes a port that is free now.
	addresses, err := freeAddresses(2 * w.settings.Size)
	if err != nil {
		return err
	}
	for i := range w.settings.Size {
		w.controllers = append(w.controllers, &controller{
			label: label(i), zone: w.settings.Zones[i%len(w.settings.Zones)],
			front: addresses[2*i], back: addresses[2*i+1], state: states[i],
			config: filepath.Join(w.dir, label(i)+".json"),
		})
	}
	for _, c := range w.controllers {
		if err := w.writeConfig(c, cloud); err != nil {
			return err
		}
		if err := w.start(c); err != nil {
			return err
		}
	}
	return nil
}

// writeConfig writes the settings file of a controller.
func (w *world) writeConfig(c *controller, cloud string) error {
	members := []object{}
	for _, other := range w.controllers {
		if other != c {
			members = append(members, object{"label": other.label, "site": other.zone, "peer_addr": other.back})
		}
	}
	return os.WriteFile(c.config, encode(object{
		"label": c.label, "site": c.zone, "front": c.front, "back": c.back, "members": members,
		"outside": object{"cloud": cloud, "state": c.state}, "settings": w.settings,
	}), 0o600)
}

// start starts a controller. It ends with this process.
func (w *world) start(c *controller) error {
	log, err := os.OpenFile(strings.TrimSuffix(c.config, ".json")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	arguments := append(append([]string(nil), w.program[1:]...), c.config)
	c.process = exec.Command(w.program[0], arguments...)
	c.process.Stderr = log
	c.process.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	c.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.process.Start(); err != nil {
		return err
	}
	w.record.add(fmt.Sprintf("%s: started", c.label))
	done, process := make(chan struct{}), c.process
	c.done = done
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// logLevel returns the log level of the controllers.
func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// kill ends a controller as the platform does.
func (w *world) kill(c *controller) {
	w.record.add(c.label + ": killed")
	_ = c.process.Process.Kill()
	<-c.done
}

// hasEnded reports whether a controller ended by itself.
func (c *controller) hasEnded() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// end ends all processes.
func (w *world) end() {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	for _, c := range w.controllers {
		if c.process != nil && c.process.Process != nil {
			_ = c.process.Process.Kill()
			<-c.done
		}
	}
}

// addMachines adds on-demand machines that are up from the start.
func (w *world) addMachines(count int, kind machineType, zone string) error {
	for range count {
		m := &worker{
			world: w, name: fmt.Sprintf("host-%06d", len(w.cloud.machines)+1), kind: kind, zone: zone,
			shift: 1, images: map[string]bool{}, leaseFrom: time.Now(), wake: make(chan struct{}, 1),
			calls: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
			at:    len(w.cloud.machines),
		}
		address, err := serve(http.HandlerFunc(m.direct))
		if err != nil {
			return err
		}
		m.addr = address
		w.cloud.machines = append(w.cloud.machines, m)
	}
	return nil
}
