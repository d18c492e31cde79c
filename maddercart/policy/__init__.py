"""The decision logic of maddercart: zone groups with canary-confirmed failover.

The calling convention is documented in `maddercart/interface.py`. Mechanisms beyond the base design
(docs/design.md says when each applies):

 1. surplus           a query crosses zones only while its own zone cannot answer in time and another one can
 2. early bounce      a query is rejected when no permitted upstream is expected to answer it in time
 3. latency weights   two candidates are drawn by their machine kind's mean latency and compared by their own
 4. subset            a sidecar uses the upstreams that rank highest in a hash of its number and theirs
 5. slow-start ring   a cold upstream's budget is dealt out in whole queries over a hash ring of the sidecars
"""
