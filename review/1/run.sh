#!/bin/sh
# A SIGTERM to a host that runs requests of other hosts. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case couldn't run. With TROUBLE=0 the servers are not cut off before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lab ] && [ -x target/celeryreach ] || exit 2
exec target/review/lab sigterm-with-forwarded review/1
