#!/usr/bin/env bash
# Short single tasks are submitted behind a gang that needs four machines, of which three
# have a service; the fourth is idle. With TROUBLE=0 there is no gang. See claim.txt.
# What was sent, answered and run is written to record.txt.
cd "$(dirname "$0")/../.." || exit 2
. review/play.sh
record=review/2/record.txt
scenario='name: "short work behind a gang"
seed: 1
length_s: 110
# The second deployment of BRIEF (mphco-boiler) with four machines, all up.
controllers { count: 3 zones: "coventry" zones: "leicester" zones: "derby" restart_s: 6 core_share: 0.18 mem_mb: 125 sockets: 1500 clock_error_ms: 250 }
state { rps: 80 write_rps: 25 value_kb: 8 txn_ops: 12 }
cloud { rps: 3 list_lag_s: 8 }
workers { report_s: 2.5 lease_s: 16 gang_wait_s: 30 gang_peer_s: 4 cancel_s: 36 }
machine_type { name: "manifold" cpus: 16 memory_gb: 64 cache_gb: 80 fetch_gb_per_s: 1 price: 0.97 boot_s: 20 }
machines { type: "manifold" zone: "coventry" count: 4 up: 4 }
team { name: "radiator" gpus: 8 gpus_max: 16 }
team { name: "flue" gpus: 8 gpus_max: 32 }
# A service of three replicas, each on a machine of its own.
load {
  class: "thermostats" kind: SERVICE priority: PRODUCTION teams: "radiator" initial: 1 from_s: 2
  tasks { sizes: 3 } cpus: 16 memory_gb: 30 images: 1 image_gb { median: 0.5 }
}
# A gang of four tasks, each of which takes a machine.
load { class: "fit-region" kind: GANG priority: NORMAL teams: "radiator" initial: 1 from_s: 4 tasks { sizes: 4 } run_s { median: 10 } cpus: 16 memory_gb: 30 images: 1 image_gb { median: 0.5 } estimate_error: 0 }
# Five jobs of another team, each one task of 5 s.
load {
  class: "meter-sweep" kind: ARRAY priority: NORMAL teams: "flue" initial: 5 from_s: 8
  tasks { sizes: 1 } run_s { median: 5 } cpus: 2 memory_gb: 3.2 images: 1 image_gb { median: 0.5 } estimate_error: 0
}'
if [ "${TROUBLE:-1}" = 0 ]; then
  scenario=$(grep -v '"fit-region"' <<<"$scenario")
fi
play "$record" left_waiting "$scenario"
exit $?
