#!/bin/sh
# Install the packages and what they need below target/, by pip alone.
# Nothing is done where neither a pin nor a source has changed since. That is
# told by content: in a copy of a checkout whose target/ came along, the times
# of the files say nothing, and days were played with the code of before.
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
python3 -m compileall -q target/deps || true
echo "$digest" > "$stamp"
