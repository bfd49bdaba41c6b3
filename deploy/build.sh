#!/bin/sh
# Install the packages and their dependencies below target/ with pip.
# Nothing is done if no pin or source has changed since the last build. Changes
# are detected by content: in a copied checkout that includes target/, file
# times do not show them, and an outdated build would run.
set -eu
sources="packages/core packages/daemon platform"
stamp=target/built
digest=$(find constraints.txt deploy/build.sh deploy/requirements.txt \
  $sources -type f ! -path '*/__pycache__/*' ! -path '*/build/*' \
  ! -path '*.egg-info/*' | LC_ALL=C sort | xargs sha256sum | sha256sum)
if [ -e "$stamp" ] && [ "$(cat "$stamp")" = "$digest" ]; then
  exit 0
fi
mkdir -p target
if [ ! -e target/pinned ] || ! cmp -s constraints.txt target/pinned; then
  rm -rf target/deps
  python3 -m pip install -q --no-compile --no-deps --target target/deps \
    -c constraints.txt -r deploy/requirements.txt
  cp constraints.txt target/pinned
fi
rm -rf target/sources
mkdir target/sources
for source in $sources; do
  mkdir -p "target/sources/$source"
  cp -R "$source/." "target/sources/$source"
  rm -rf "target/sources/$source/build"
  python3 -m pip install -q --no-compile --no-deps --upgrade \
    --target target/deps "./target/sources/$source"
done
python3 -m compileall -q -o 0 -o 2 target/deps || true
echo "$digest" > "$stamp"
