#!/usr/bin/env bash
# Checks that a folder of src/ includes only itself and the folders before it in the layout, and
# that Beast and the full JSON header stay out of headers.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly layers=(core model membership distribution source admin control proxy admission egress ingress runtime node cli)
status=0

for ((i = 0; i < ${#layers[@]}; i++)); do
  for ((j = i + 1; j < ${#layers[@]}; j++)); do
    if grep -rn "#include \"${layers[j]}/" "src/${layers[i]}"; then
      echo "layers: src/${layers[i]} may not include src/${layers[j]}" >&2
      status=1
    fi
  done
done

# The data path does not know how configuration reaches it.
if grep -rnE '#include "(membership|distribution|source|admin|control)/' src/proxy src/admission \
    src/egress src/ingress; then
  echo "layers: src/proxy, src/admission, src/egress and src/ingress may include only core, model and each other" >&2
  status=1
fi

if grep -rnE '#include <(boost/beast|nlohmann/json\.hpp)' --include='*.h' src; then
  echo "layers: include Beast and JSON in .cpp files only (they are slow to compile)" >&2
  status=1
fi

exit "${status}"
