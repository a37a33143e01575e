#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption.
exec python3 "$(dirname "$0")/play.py"
