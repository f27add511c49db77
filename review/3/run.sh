#!/bin/sh
# Case 3: see claim.txt. SEED draws the traffic (default 1); TROUBLE=0 plays it without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
