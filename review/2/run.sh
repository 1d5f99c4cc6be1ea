#!/usr/bin/env bash
# One tenant sends 7.5 times its usual for 6.5 s, bodies of 4 MB.
# TROUBLE=0: it does not.
exec "$(dirname "$0")/../run-case.sh" 2
