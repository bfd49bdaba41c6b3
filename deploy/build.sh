#!/bin/sh
# Install the packages and what they need below target/, by pip alone.
# Nothing is done where neither a pin nor a source has changed since.
set -eu
sources="packages/core packages/daemon platform"
stamp=target/built
if [ -e "$stamp" ] && [ -z "$(find constraints.txt deploy $sources \
  -newer "$stamp" -type f ! -path '*/__pycache__/*' ! -path '*/build/*' \
  ! -path '*.egg-info/*' | head -n 1)" ]; then
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
python3 -m compileall -q target/deps || true
touch "$stamp"
