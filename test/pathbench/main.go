package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

func main() {
	var err error
	if len(os.Args) > 1 && os.Args[1] == "forward" {
		err = forward(os.Args[2:])
	} else {
		err = measure()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "pathbench:", err)
		os.Exit(1)
	}
}

func measure() error {
	quick := flag.Bool("quick", false, "one short round of each measurement")
	only := flag.String("only", "", "run one part: path, flood, crash or keys")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "pathbench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	binary, server, err := binaries(ctx, dir)
	if err != nil {
		return err
	}
	b := &bench{client: newClient(), out: &figures{out: os.Stdout}, quick: *quick, rounds: 3}
	if *quick {
		b.rounds = 1
	}
	start, before := time.Now(), readMachine()
	b.out.note("seed %d, %d nodes, %d slots, service time %v, rounds %d, machine busy before the start %.0f%%",
		seed, members, slots, serviceTime, b.rounds, idleLook())
	wanted := func(part string) bool { return *only == "" || *only == part }
	if err := b.direct(ctx, dir, binary, server, wanted); err != nil {
		return err
	}
	b.out.note("machine busy during the run %.0f%%, %v", readMachine().since(before), time.Since(start).Round(time.Second))
	return nil
}

// idleLook returns how busy other work keeps the machine, in percent.
func idleLook() float64 {
	before := readMachine()
	time.Sleep(time.Second)
	return readMachine().since(before)
}

// binaries returns the node binary and builds the upstream stand-in.
func binaries(ctx context.Context, dir string) (node, server string, err error) {
	bin := os.Getenv("LENTILFLOW_BIN")
	if bin == "" {
		bin = "bin"
	}
	node, err = filepath.Abs(filepath.Join(bin, "lentilflow"))
	if err != nil {
		return "", "", err
	}
	if _, err := os.Stat(node); err != nil {
		return "", "", merry.Prepend(err, "run \"make build\" or set LENTILFLOW_BIN")
	}
	server = filepath.Join(dir, "upstream")
	build := exec.CommandContext(ctx, "go", "build", "-o", server, "github.com/lentilflow/lentilflow/pkg/standin/upstream/process")
	build.Stderr = os.Stderr
	return node, server, merry.Prepend(build.Run(), "build the upstream stand-in")
}

// direct measures with nodes that reach each other directly.
func (b *bench) direct(ctx context.Context, dir, binary, server string, wanted func(string) bool) error {
	c, err := startCluster(ctx, dir, binary, server, false)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	b.cluster = c
	fifo, err := startBaseline(c, "-fifo", fmt.Sprint(slots))
	if fifo != nil {
		defer fifo.stop()
	}
	if err != nil {
		return err
	}
	if wanted("path") {
		most, err := b.measureCost(ctx, fifo)
		if err != nil {
			return err
		}
		b.measureAdded(ctx, most)
	}
	if wanted("flood") {
		return b.floods(ctx, fifo)
	}
	return nil
}

// floods compares the system with the forwarders in turn.
func (b *bench) floods(ctx context.Context, fifo *baseline) error {
	open, err := startBaseline(b.cluster)
	if open != nil {
		defer open.stop()
	}
	if err != nil {
		return err
	}
	retrying, err := startBaseline(b.cluster, "-retry")
	if retrying != nil {
		defer retrying.stop()
	}
	if err != nil {
		return err
	}
	nodes := b.bases(func(m *member) string { return m.calls })
	upstreams := b.bases(func(m *member) string { return m.upstream })
	capacity := saturate(b.client, upstreams, "/r0", members*slots, b.scale(2*time.Second))
	b.out.add("capacity", capacity, "1/s", target{})
	s := time.Second
	for round := range b.rounds {
		warm, after := s, 6*s
		if round == 0 {
			warm = 5 * s // a node starts with half of the slots
		}
		if round == b.rounds-1 {
			after = 15 * s
		}
		b.scenario(ctx, "system", nodes, capacity, phases{warm: warm, calm: 3 * s, low: 4 * s, pause1: s, top: 4 * s, pause2: s, storm: 3 * s, after: after, resends: stormSends})
		if err := b.deadThird(ctx, "system.third_dead", nodes, capacity, 4*s, false); err != nil {
			return err
		}
		b.scenario(ctx, "first_come", fifo.calls, capacity, phases{calm: s, low: 4 * s, pause1: s, top: 4 * s})
		if err := b.deadThird(ctx, "random_choice.third_dead", fifo.calls, capacity, 4*s, false); err != nil {
			return err
		}
		b.scenario(ctx, "no_admission", open.calls, capacity, phases{calm: s, low: 4 * s})
		b.scenario(ctx, "unlimited_retries", retrying.calls, capacity, phases{calm: s, storm: 3 * s, after: 5 * s})
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	b.out.flush()
	return nil
}
