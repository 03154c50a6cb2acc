#!/usr/bin/env bash
# A SIGHUP that comes while a process still reads its settings must not end it:
# check-signal.sh BUILD
build=${1:-build}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mkfifo "$folder/settings"
"$build/trefoilspard" --check-config --config "$folder/settings" &
pid=$!
# The pipe opens for writing once the process reads it.
exec 3>"$folder/settings"
kill -HUP $pid
cat etc/trapani.json >&3
exec 3>&-
if wait $pid; then
  echo "ok signal/hangup-while-settings-are-read"
else
  echo "not ok signal/hangup-while-settings-are-read"
  exit 1
fi
