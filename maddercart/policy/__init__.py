"""All decisions of maddercart: zone groups with canary-confirmed failover.

How it is called: `maddercart/interface.py`. Mechanisms beside the design (when: docs/design.md):

 1. surplus      a query crosses zones only while its own zone cannot answer in time and another can
 2. early bounce a query is turned away when no upstream that may get it can answer it in time
 3. paces        the two are drawn by what their kind of machine lately took, and weighed by what they took
 4. own set      a sidecar uses those upstreams that rank highest in a hash of its number and theirs
 5. cold ring    a cold upstream is fed by as many sidecars on the ring as it can bear, a query each
"""
