#!/usr/bin/env bash
# Fails if a source file outside platform/ contains a name of the platform in gateway mode: a header field, path, key
# or JSON member.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly names='Ragwortwinch-|Kv-Fetch|/api/(kv-|report|order|resolution|readiness|hold-)|"op/|servers/i-|fencing_token|kv_handle|window_index|desired_count|target_latency_ms|api_keys|kv_cache_tokens'
if found=$(git ls-files 'ragwortwinch/*.h' 'ragwortwinch/*.cc' 'testing/*.h' 'testing/*.cc' 'bench/*.cc' | xargs grep -nE "$names"); then
    echo "names of the platform outside platform/; move the code that uses them to platform/:"
    echo "$found"
    exit 1
fi
echo "1 passed, 0 failed"
