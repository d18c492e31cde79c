"""The wire's frames: offsets and layouts, little-endian and without padding."""

from struct import Struct

BATCH = Struct("<dII")  # clock, bytes that follow, records
REPLY = Struct("<II")  # records, bytes that follow
EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY = Struct("<IHBHBfd")

HEAD = Struct("<HI")  # code, instance
POWER_ON, TOPOLOGY, PEER, DETACH, COMPLETED = 256, 257, 258, 259, 260
TIMEOUT_FIRED, FIRST, INVENTORY, DEMAND, VANISHED, HEALTH_RESULT = 261, 262, 263, 264, 265, 266
POWER_ON_BODY = Struct("<6xQII")
TOPOLOGY_BODY = Struct("<6xBQB")
COMPLETED_BODY = Struct("<6xIIdBBBB4f")
INVENTORY_BODY = Struct("<2xBII")
DEMAND_BODY = Struct("<6xIddBHIQ")
REPEATED = 2  # of a demand's marks
VANISHED_BODY = Struct("<6xI")
HEALTH_RESULT_BODY = Struct("<6xIBdB4f")

RECORD, HAND_OFF, ABORT_ATTEMPT, POLL, FOLLOW, FAULT = 320, 321, 322, 323, 324, 325
GIVE_UP, LOOKUP, REFUSE, POST, SET_TIMER, LET_GO = 326, 327, 328, 329, 330, 331
RECORD_ACTION = Struct("<HIII10x")
HAND_OFF_ACTION = Struct("<HIIId2x")
ABORT_ATTEMPT_ACTION = Struct("<HIIB13x")
POLL_ACTION = Struct("<HII14x")
FOLLOW_ACTION = Struct("<HIB17x")
GIVE_UP_ACTION = Struct("<HII14x")
REFUSE_ACTION = Struct("<HIId6x")
SET_TIMER_ACTION = Struct("<HIdI6x")
