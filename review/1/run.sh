#!/usr/bin/env bash
# A worker's second answer to a refused request is taken for the answer to the
# repeat of that request. TROUBLE=0: no second answers.
exec "$(dirname "$0")/../run-case.sh" 1
