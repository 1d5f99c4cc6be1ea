#!/usr/bin/env bash
# A configuration adds a route with `sizes` that isn't resumable.
# TROUBLE=0: the configuration stays as it is.
exec "$(dirname "$0")/../run-case.sh" 3
