"""The reference page of the gateway's file, made from its types."""

from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec

from maddercart.gateway import file as f

TABLES: list[tuple[str, Any]] = [
    ("[process]", f.Process), ("[log]", f.Log), ("[[listeners]]", f.Listener), ("[[pools]]", f.Pool),
    ("[[pools.servers]], and [[servers]] of a pool's `file`", f.Server), ("[pools.cold]", f.Cold),
    ("[pools.retries]", f.Budget), ("[pools.adaptive]", f.Adaptive), ("[[routes]]", f.Route),
    ("[[routes.to]]", f.Target), ("[[routes.limits]]", f.Rated),
]  # fmt: skip
HEAD = """# The gateway's file: reference

Made by `maddercart config reference` from `maddercart/gateway/file.py`; a test keeps it current. How to use
it: `operators.md`. Lengths of time are seconds, rates a second, sizes bytes, shares parts of one. An unknown
key is an error.
"""


def page() -> str:
    parts = [HEAD]
    for title, table in TABLES:
        parts.append(f"\n## {title}\n")
        if table.__doc__ and not table.__doc__.startswith(table.__name__ + "("):
            parts.append(" ".join(table.__doc__.split()) + "\n")
        parts.append("| key | what it is | values | if left out |\n| --- | --- | --- | --- |")
        parts += [line(table, one) for one in msgspec.structs.fields(table)]
    return "\n".join(parts) + "\n"


def line(table: Any, one: Any) -> str:
    hint = get_type_hints(table, include_extras=True)[one.name]
    said = next((text for text in get_args(hint)[1:] if isinstance(text, str)), "")
    return f"| `{one.encode_name}` | {said} | {values(hint)} | {default(one)} |"


def values(hint: Any) -> str:
    bounds = []
    while get_origin(hint) is Annotated:
        inner, *more = get_args(hint)
        bounds += [bound for meta in more if isinstance(meta, msgspec.Meta) for bound in told(meta)]
        hint = inner
    if str(get_origin(hint)) == "typing.Literal":
        return ", ".join(f"`{value}`" for value in get_args(hint))
    if get_origin(hint) is list:
        return "list"
    if get_origin(hint) is dict or (isinstance(hint, type) and issubclass(hint, msgspec.Struct)):
        return "table"
    if type(None) in get_args(hint):
        return "table"
    name = {"str": "text", "int": "whole number", "float": "number", "bool": "true, false"}.get(
        hint.__name__, ""
    )
    return ", ".join([name, *bounds])


def told(meta: msgspec.Meta) -> list[str]:
    words = (("ge", "from"), ("gt", "over"), ("le", "to"), ("lt", "under"))
    return [f"{word} {getattr(meta, key):g}" for key, word in words if getattr(meta, key) is not None]


def default(one: Any) -> str:
    if one.required:
        return "must be given"
    if one.default_factory is not msgspec.NODEFAULT:
        return "empty"
    if one.default is None or isinstance(one.default, msgspec.Struct):
        return "see its table" if one.default is not None else "none"
    return (
        f"`{one.default}`".lower()
        if isinstance(one.default, bool)
        else f"`{one.default}`"
        if one.default != ""
        else "empty"
    )
