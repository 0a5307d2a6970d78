#!/usr/bin/env bash
# Plots measures that bench.sh wrote with --json. Usage: plot.sh JSON DIR
# Writes SVG files to DIR; a plot whose measures are missing is skipped with a message.
set -euo pipefail
[ $# -eq 2 ] || { echo "usage: plot.sh JSON DIR" >&2; exit 2; }
[ -r "$1" ] || { echo "plot.sh: cannot read $1" >&2; exit 2; }
mkdir -p "$2"
data=$(mktemp -d)
trap 'rm -rf "$data"' EXIT
# One line for each measure: figure, ratio, name.
awk '{ value = $0; sub(/^ *"[a-z]+": /, "", value); sub(/,$/, "", value) }
  /^ *"figure": / { figure = value }
  /^ *"name": / { name = value; gsub(/"/, "", name) }
  /^ *"ratio": / { print figure "\t" value "\t" name }' "$1" > "$data/all"

# plot NAME GNUPLOT_COMMANDS: draws NAME.svg from the points in $data/NAME
plot() {
  if [ ! -s "$data/$1" ]; then
    echo "plot.sh: skipped $1: its measures are not in the file"
    return
  fi
  gnuplot -e "set terminal svg size 900,600; set output '$3/$1.svg'; set grid; file = '$data/$1'; $2"
  echo "plot.sh: wrote $3/$1.svg"
}
sed -nE 's/^([^\t]*)\t[^\t]*\tspread ([0-9]+): all in force$/\2 \1/p' "$data/all" > "$data/in-force"
sed -nE 's/^[^\t]*\t([^\t]*)\tpatient slot-seconds, urgent flood, (.*)$/"\2" \1/p' "$data/all" > "$data/kept-work"
sed -nE 's/^([^\t]*)\t[^\t]*\t.*placement cost[^0-9]*([0-9]+).*$/\2 \1/p' "$data/all" > "$data/placement"
plot in-force "set logscale x; set xlabel 'processes'; set ylabel 'all in force [s]'; set yrange [0:*]; plot file with linespoints notitle" "$2"
plot kept-work "set style fill solid; set boxwidth 0.7; set yrange [0:*]; set ylabel 'patient work kept, to its share'; set xtics rotate by -30; set bmargin 14; plot file using 2:xtic(1) with boxes notitle" "$2"
plot placement "set logscale x; set xlabel 'workers'; set ylabel 'placement cost'; set yrange [0:*]; plot file with linespoints notitle" "$2"
