"""Frames of the simulator's protocol: codes and layouts, little-endian and without padding."""

from struct import Struct

BATCH = Struct("<dII")  # clock in seconds, length in bytes of what follows, number of records
REPLY = Struct("<II")  # number of records, length in bytes of what follows
EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY = Struct("<IHBHBfd")  # upstream, zone, kind, cell, condition, size, start in seconds

HEAD = Struct("<HI")  # code, instance; the bodies below follow it
POWER_ON, TOPOLOGY, PEER, DETACH, COMPLETED = 256, 257, 258, 259, 260
TIMEOUT_FIRED, FIRST, INVENTORY, DEMAND, VANISHED, HEALTH_RESULT = 261, 262, 263, 264, 265, 266
POWER_ON_BODY = Struct("<6xQII")  # seed, offset and length of the settings in the tail
TOPOLOGY_BODY = Struct("<6xBQB")  # kind (0: changes, 3: failed, else full), unused, inventory
# query, upstream, duration in seconds, whether the query has ended, dispatch, outcome, number of report
# values, report values
COMPLETED_BODY = Struct("<6xIIdBBBB4f")
INVENTORY_BODY = Struct("<2xBII")  # inventory, offset in the tail, number of entries
# query, unused, remaining seconds, offering, marks, party, unused
DEMAND_BODY = Struct("<6xIddBHIQ")
REPEATED = 2  # flag in the marks of a DEMAND
VANISHED_BODY = Struct("<6xI")  # query
# upstream, outcome, duration in seconds, number of report values, report values
HEALTH_RESULT_BODY = Struct("<6xIBdB4f")

RECORD, HAND_OFF, ABORT_ATTEMPT, POLL, FOLLOW, FAULT = 320, 321, 322, 323, 324, 325
GIVE_UP, LOOKUP, REFUSE, POST, SET_TIMER, LET_GO = 326, 327, 328, 329, 330, 331
# Actions begin with code and instance; the fields that follow are named here.
RECORD_ACTION = Struct("<HIII10x")  # offset and length of the text in the tail
HAND_OFF_ACTION = Struct("<HIIId2x")  # query, upstream, time limit in seconds
ABORT_ATTEMPT_ACTION = Struct("<HIIB13x")  # query, dispatch
POLL_ACTION = Struct("<HII14x")  # upstream
FOLLOW_ACTION = Struct("<HIB17x")  # always 1
GIVE_UP_ACTION = Struct("<HII14x")  # query
REFUSE_ACTION = Struct("<HIId6x")  # query, retry delay in seconds
SET_TIMER_ACTION = Struct("<HIdI6x")  # delay in seconds, always 0
