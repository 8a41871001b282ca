#!/usr/bin/env bash
# TROUBLE=0: the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
# shellcheck source=../common/run.sh
source "$(dirname "$0")/../common/run.sh"
