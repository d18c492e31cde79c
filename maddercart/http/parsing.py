"""What the HTTP state machines share."""

# Events (heads, parts of bodies, informational responses) that are taken from one connection in a turn of the
# loop. One read has room for tens of thousands.
MAX_EVENTS_PER_TURN = 64
# Of the connection to discovery, of which there is one and whose lists must be applied soon.
MAX_LIST_EVENTS_PER_TURN = 512
