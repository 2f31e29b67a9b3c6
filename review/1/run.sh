#!/usr/bin/env bash
# Both machines of a small deployment stop, and then users submit work that needs no GPU.
# With TROUBLE=0 the machines go on. See claim.txt.
# What was sent, answered and run is written to record.txt.
cd "$(dirname "$0")/../.." || exit 2
. review/play.sh
record=review/1/record.txt
scenario='name: "both machines stop"
seed: 1
length_s: 112
# The first deployment of BRIEF (jtmn-ladang) with two machines up.
controllers { count: 3 zones: "serdang" zones: "kuantan" zones: "kulim" restart_s: 4 core_share: 0.3 mem_mb: 342 sockets: 4000 clock_error_ms: 1000 }
state { rps: 250 write_rps: 100 value_kb: 8 txn_ops: 48 }
cloud { rps: 1.5 list_lag_s: 10 }
workers { report_s: 3 lease_s: 44 gang_wait_s: 50 gang_peer_s: 8 cancel_s: 69 }
machine_type { name: "jentera-padi" cpus: 48 gpus: 8 memory_gb: 288 cache_gb: 200 fetch_gb_per_s: 1 price: 24.96 boot_s: 35 }
machines { type: "jentera-padi" zone: "serdang" count: 16 up: 1 }
machines { type: "jentera-padi" zone: "kuantan" count: 16 up: 1 }
machines { type: "jentera-padi" zone: "kulim" count: 16 }
team { name: "benih" gpus: 64 gpus_max: 160 }
team { name: "kebun-universiti" }
# The class semut-kecil as the operators have it: one task of 0.25 CPUs and no GPU.
load {
  class: "semut-kecil" kind: ARRAY priority: IDLE teams: "kebun-universiti" initial: 5 from_s: 30
  tasks { sizes: 1 } run_s { median: 20 } cpus: 0.25 memory_gb: 1.35 images: 1 image_gb { median: 0.5 } spot: true
}
fault { at_s: 4 kind: "machine_die" count: 2 }'
if [ "${TROUBLE:-1}" = 0 ]; then
  scenario=$(grep -v '^fault' <<<"$scenario")
fi
play "$record" nothing_ran "$scenario"
exit $?
