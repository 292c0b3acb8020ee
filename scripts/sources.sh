#!/usr/bin/env bash
# Lists the C++ files that the formatter and the linter cover.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard -- packages platform standin tools tests |
  grep -E '\.(h|cc|cpp)$' | while read -r f; do [ -f "$f" ] && echo "$f"; done
