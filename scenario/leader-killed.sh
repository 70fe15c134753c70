#!/usr/bin/env bash
# Three voters as processes, with the settings and declarations of
# examples/teranga. 200 changes are applied one after the other through each
# instance in turn; the leader is killed with SIGKILL twice while one of them is
# under way, and restarted later. At the end every accepted change is in the
# history once and the last one is in force at every instance.
#
#     scenario/leader-killed.sh
#
# It uses a temporary folder and the ports of the example files, 7411 to 7434;
# with KEEL_PORTS=94 they are 9411 to 9434.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
keel=$work/greengagekeel
p=${KEEL_PORTS:-74}
declare -A pids ports=([dakar-a-1]=${p}13 [dakar-a-2]=${p}23 [dakar-b-1]=${p}33)
names=(dakar-a-1 dakar-a-2 dakar-b-1)
trap 'for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done; rm -rf "$work"' EXIT

state() { curl -sf "http://127.0.0.1:${ports[$1]}/v1/state"; }

# serve NAME starts an instance and waits until it answers.
serve() {
	"$keel" serve --config "examples/teranga/settings/$1.json" >>"$1.log" 2>&1 &
	pids[$1]=$!
	disown
	until state "$1" >/dev/null; do sleep 0.05; done
	echo "started $1"
}

# leader waits for a leader and prints its name.
leader() {
	while true; do
		for n in "${names[@]}"; do
			if state "$n" 2>/dev/null | grep -q '"role":"leader"'; then
				echo "$n"
				return
			fi
		done
		sleep 0.05
	done
}

# declare_run N puts the value N into a label of the declarations.
declare_run() {
	echo '{"labels":[{"name":"run","target":"service","names":["nothing"],"set":{"run":"'"$1"'"}}]}' >declarations/run.json
}

# apply_run N applies change N, each time at the next instance: with the same id
# until it has an outcome, with a new one if it lost against another change.
apply_run() {
	local n=$1 try=0 id=run-$1 out code
	while true; do
		name=${names[$(((n + try) % 3))]}
		code=0
		out=$("$keel" apply --operator "127.0.0.1:${ports[$name]}" --declarations declarations --id "$id" --timeout 5s 2>&1) || code=$?
		if [ "$code" = 0 ]; then
			echo "run-$n at $name, try $((try + 1)): $out" >>outcomes
			return
		fi
		echo "run-$n at $name, try $((try + 1)): exit $code: ${out%%$'\n'*}" >>outcomes
		try=$((try + 1))
		[ "$code" != 3 ] || id=run-$n-$try
	done
}

go build -o "$keel" ./cmd/greengagekeel
cp -r examples "$work"
cd "$work"
cp -r examples/teranga/declarations declarations
sed -i "s/127.0.0.1:74/127.0.0.1:$p/" examples/teranga/settings/*.json
export KEEL_TOKEN_FILE=$work/run/keys/operator.token
echo '$ greengagekeel keys --dir run/keys --instance dakar-a-1 --instance dakar-a-2 --instance dakar-b-1'
"$keel" keys --dir run/keys --instance dakar-a-1 --instance dakar-a-2 --instance dakar-b-1 >/dev/null
for n in "${names[@]}"; do serve "$n"; done
leader >/dev/null
echo "\$ greengagekeel apply --operator 127.0.0.1:${p}13 --declarations declarations --wait"
until "$keel" apply --operator 127.0.0.1:${p}13 --declarations declarations --wait; do sleep 0.2; done

for i in $(seq 200); do
	declare_run "$i"
	case $i in
	60 | 140)
		victim=$(leader)
		apply_run "$i" &
		applying=$!
		echo "\$ kill -9 (leader $victim), while run-$i is applied"
		kill -9 "${pids[$victim]}"
		wait "$applying"
		;;
	100 | 180)
		serve "$victim"
		apply_run "$i"
		;;
	*) apply_run "$i" ;;
	esac
done

echo '$ grep -c accepted outcomes; grep -c "connection refused" outcomes   # tries at the killed one'
grep -c ': accepted: version' outcomes || true
grep -c 'connection refused' outcomes || true
echo '$ grep -v -e accepted -e "connection refused" outcomes; grep -e run-60 -e run-140 outcomes'
grep -v -e ': accepted: version' -e 'connection refused' outcomes || true
grep -e '^run-60 ' -e '^run-140 ' outcomes

echo '$ greengagekeel dump, version at each instance'
last=$(curl -sf "http://127.0.0.1:${ports[$(leader)]}/v1/changes?limit=1" | grep -o '"version":[0-9]*' | head -1)
for n in "${names[@]}"; do
	until "$keel" dump --operator "127.0.0.1:${ports[$n]}" | tr -d ' \n\t' | grep -q "$last[,}]"; do sleep 0.05; done
	echo "$n $last, label $("$keel" get --operator "127.0.0.1:${ports[$n]}" | tr -d ' \n\t' | grep -o '"run":"[0-9]*"')"
done

echo '$ history at each instance: changes run-1 to run-200, and those that stand there twice'
for n in "${names[@]}"; do
	ids=$(curl -sf "http://127.0.0.1:${ports[$n]}/v1/changes?limit=1000" | grep -o '"id":"run-[0-9]*')
	found=$(sort -u <<<"$ids" | wc -l)
	twice=$(sort <<<"$ids" | uniq -d | wc -l)
	echo "$n: $found changes, $twice twice"
	[ "$found" = 200 ] && [ "$twice" = 0 ]
done
