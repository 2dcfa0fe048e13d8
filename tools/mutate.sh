#!/usr/bin/env bash
# Breaks one rule after the other in a copy of the tree and shows which check goes red.
# An argument limits it to the rules whose line holds that text.
set -u
cd "$(dirname "$0")/.."
top=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
export CARGO_TARGET_DIR="${CARGO_TARGET_DIR:-$top/target/mutate}"
survived=0
while IFS= read -r line; do
  case "$line" in ''|'#'*) continue ;; *"${1:-}"*) ;; *) continue ;; esac
  rm -rf "$copy/tree" && mkdir "$copy/tree"
  git ls-files -co --exclude-standard | tar -cf - -T - | tar -xf - -C "$copy/tree"
  cd "$copy/tree" || exit 1
  IFS=$'\t' read -r name file filter < <(python3 - "$line" <<'P'
import sys
name, file, old, new, test = sys.argv[1].split("\t")
old, new = old.replace("\\n", "\n"), new.replace("\\n", "\n")
text = open(file).read()
print(name, file, test if text.count(old) == 1 else "TEXT-NOT-FOUND", sep="\t")
if text.count(old) == 1:
    open(file, "w").write(text.replace(old, new))
P
)
  if [ "$filter" = TEXT-NOT-FOUND ]; then
    printf '%-48s the text to replace does not stand once in %s\n' "$name" "$file"
    survived=1
  elif out=$(timeout 300 cargo test --locked --quiet "$filter" 2>&1 </dev/null); then
    printf '%-48s SURVIVED %s\n' "$name" "$filter"
    survived=1
  elif grep -q 'test result: FAILED' <<<"$out"; then
    red=$(grep -oE '^test .* FAILED|^    [a-z_]+::[a-z_:]+' <<<"$out" | sed 's/^ *//' | sort -u | head -1)
    printf '%-48s red: %s\n' "$name" "$red"
  else
    printf '%-48s does not build:\n%s\n' "$name" "$(grep -m1 '^error' <<<"$out")"
    survived=1
  fi
  cd "$top" || exit 1
done < tools/mutations.txt
exit $survived
