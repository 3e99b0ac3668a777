#!/usr/bin/env bash
# Scores and hunts the sites of the regression runs: regression.sh BENCH FOLDER [older].
# BENCH is the users' bench, FOLDER the one that holds their site files. With `older`, the sites that are
# played once before a landing.
set -euo pipefail
bench=$1
folder=$2
# Site file and days of a hunt.
current=("large/virvoke-levy-large 8" "further/essenze-campioni 40" "further-grown/essenze-campioni-grown 8"
    "grown/virvoke-levy-grown 8" "grown/hanbit-forge-grown 8")
older=("sites/virvoke-levy 40" "sites/hanbit-forge 40")
sites=("${current[@]}")
if [ "${3:-}" = older ]; then
    sites=("${older[@]}")
fi
for row in "${sites[@]}"; do
    read -r site days <<< "$row"
    "$bench" score "$folder/$site.toml" --why "regression run"
    "$bench" hunt "$folder/$site.toml" --days "$days" --why "regression run"
done
