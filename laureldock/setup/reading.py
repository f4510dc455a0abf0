"""A configuration file read and checked: a plan and where each value came from, or every fault at once."""

from __future__ import annotations

import os
import re
import tomllib
import types
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from difflib import get_close_matches
from pathlib import Path
from typing import Annotated, Any, Union, get_args, get_origin

import msgspec
from msgspec import Struct, ValidationError

from laureldock.setup.faults import Fault, LocatedFault, RefusedError
from laureldock.setup.faults import Path as Place
from laureldock.setup.plan import Plan
from laureldock.setup.rules import Bounds, check
from laureldock.setup.units import decode

MOST_BYTES = 64 << 20  # some hundred thousand endpoints
AT_LINE = re.compile(r" ?\(at (?:line (\d+), column \d+|end of document)\)")
# What an environment variable may say, beside the same flag of `serve`.
OVERRIDES: dict[str, Place] = {
    "name": ("name",),
    "seed": ("seed",),
    "state": ("state",),
    "listen": ("front", 0, "listen"),
    "log_level": ("log", "level"),
    "log_format": ("log", "format"),
}


@dataclass(frozen=True, slots=True)
class Override:
    """A value from outside the file, and where from: the environment or a flag."""

    path: Place
    value: Any
    origin: str


@dataclass(slots=True)
class Loaded:
    plan: Plan
    state: Path
    file: str = ""
    text: bytes = b""
    told: dict[str, Any] = field(default_factory=dict)
    overrides: list[Override] = field(default_factory=list)

    def origins(self) -> dict[Place, str]:
        """Where each value that is no default came from."""
        from laureldock.setup.places import places  # the parser is loaded for people alone

        found = {path: f"{self.file}:{line}" for path, line in places(self.text).items()}
        return found | {each.path: each.origin for each in self.overrides}


def load(path: str, overrides: list[Override] | None = None, bounds: Bounds | None = None) -> Loaded:
    """Read a file. RefusedError tells all faults of it."""
    overrides = overrides or []
    text, told = parse_file(path)
    for each in overrides:
        put(told, each)
    try:
        plan = msgspec.convert(told, Plan, dec_hook=decode)
    except ValidationError as fault:
        found = list(walk(told, Plan, ())) or [Fault((), str(fault))]
        raise RefusedError(locate_faults(path, text, found, overrides)) from None
    state = Path(path).parent / plan.state
    found = check(plan, bounds or Bounds()) + list(folders(plan, state))
    if found:
        raise RefusedError(locate_faults(path, text, found, overrides))
    return Loaded(plan, state, path, text, told, overrides)


def parse_file(path: str) -> tuple[bytes, dict[str, Any]]:
    line, reason = 0, ""
    try:
        text = read(path)
        return text, tomllib.loads(text.decode())
    except OSError as fault:
        reason = f"cannot be read: {fault.strerror or fault}"
    except UnicodeDecodeError as fault:
        line, reason = fault.object[: fault.start].count(b"\n") + 1, "not UTF-8 text"
    except tomllib.TOMLDecodeError as fault:
        found = AT_LINE.search(str(fault))
        end = text.count(b"\n") + 1
        line = int(found[1]) if found and found[1] else end
        reason = f"not TOML: {AT_LINE.sub('', str(fault))}"
    except RecursionError:
        reason = "not TOML: nested too deep"
    raise RefusedError([LocatedFault(path, line, Fault((), reason))])


def read(path: str) -> bytes:
    with open(path, "rb") as file:
        text = file.read(MOST_BYTES + 1)
    if len(text) > MOST_BYTES:
        raise OSError(f"longer than {MOST_BYTES} bytes")
    return text


def put(told: dict[str, Any], override: Override) -> None:
    """Set a value in what was read, through tables and arrays of tables."""
    here: Any = told
    *way, last = override.path
    for part, following in zip(way, override.path[1:], strict=True):
        empty: Any = [] if isinstance(following, int) else {}
        if isinstance(here, list):
            while len(here) <= int(part):
                here.append({})
            here = here[int(part)]
        elif isinstance(here, dict):
            here = here.setdefault(str(part), empty)
    if isinstance(here, dict):
        here[str(last)] = override.value


def locate_faults(
    path: str, text: bytes, found: list[Fault], overrides: list[Override]
) -> list[LocatedFault]:
    """In the order of the file. What came from outside it is named by that."""
    from laureldock.setup.places import nearest_line, places  # see above

    lines = places(text)
    outside = {each.path: each.origin for each in overrides}
    told = [
        LocatedFault(outside[fault.path], 0, fault)
        if fault.path in outside
        else LocatedFault(
            path, nearest_line(fault.path, lines), fault, nearest_line(fault.also, lines) if fault.also else 0
        )
        for fault in found
    ]
    return sorted(told, key=lambda each: (each.file, each.line))


def folders(plan: Plan, state: Path) -> Iterator[Fault]:
    """What the machine itself must have. A folder that is not there yet is made at the start."""
    place = state
    while not place.exists() and place.parent != place:
        place = place.parent
    if not place.is_dir() or (state.exists() and not state.is_dir()):
        yield Fault(("state",), f"{place} is no folder", "a folder, or a name where one can be made")
    elif not os.access(place, os.W_OK | os.X_OK):
        yield Fault(("state",), f"{place} cannot be written to", "a folder that this user may write to")


# Every fault of form. The quick way above stops at the first; this one walks the same types.


def stripped(kind: Any) -> Any:
    """A type without its annotations and without None."""
    while get_origin(kind) is Annotated:
        kind = get_args(kind)[0]
    if get_origin(kind) in (Union, types.UnionType):
        some = [each for each in get_args(kind) if each is not type(None)]
        if len(some) == 1:
            return stripped(some[0])
    return kind


def is_table(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, Struct)


def walk(told: Any, kind: Any, path: Place) -> Iterator[Fault]:
    bare = stripped(kind)
    if is_table(bare):
        yield from table(told, bare, path)
    elif get_origin(bare) is dict and is_table(stripped(get_args(bare)[1])):
        if not isinstance(told, dict):
            yield Fault(path, f"must be tables by name, not {shown(told)}", f"[{path[-1]}.NAME]")
            return
        names, inner = get_args(bare)
        for name, value in told.items():
            yield from leaf(name, names, (*path, name), "this name ")
            yield from walk(value, inner, (*path, name))
    elif get_origin(bare) is list and is_table(stripped(get_args(bare)[0])):
        if not isinstance(told, list):
            yield Fault(path, f"must be an array of tables, not {shown(told)}", f"[[{path[-1]}]]")
            return
        for place, value in enumerate(told):
            yield from walk(value, get_args(bare)[0], (*path, place))
    else:
        yield from leaf(told, kind, path)


def table(told: Any, kind: type[Struct], path: Place) -> Iterator[Fault]:
    if not isinstance(told, dict):
        yield Fault(path, f"must be a table, not {shown(told)}")
        return
    fields = {each.encode_name: each for each in msgspec.structs.fields(kind)}
    for name, value in told.items():
        if name in fields:
            yield from walk(value, fields[name].type, (*path, name))
        else:
            near = get_close_matches(name, fields, 1)
            reason = "unknown setting" + (f"; {near[0]!r} is meant?" if near else "")
            yield Fault((*path, name), reason, ", ".join(fields))
    for name, each in fields.items():
        if each.required and name not in told:
            yield Fault((*path, name), "is missing", allowed(each.type))


def leaf(told: Any, kind: Any, path: Place, what: str = "") -> Iterator[Fault]:
    try:
        msgspec.convert(told, kind, dec_hook=decode)
    except ValidationError as fault:
        reason = str(fault).partition(" - at `$")[0]
        yield Fault(path, what + reason[:1].lower() + reason[1:] + f" (it is {shown(told)})", allowed(kind))


def allowed(kind: Any) -> str:
    """What a value may be, out of its JSON Schema."""
    from laureldock.setup.units import schema

    told = msgspec.json.schema(kind, schema_hook=schema)
    for each in told.get("anyOf", [told]):
        if "enum" in each:
            return ", ".join(repr(one) for one in each["enum"])
        if "examples" in each:
            return f"text as {each['examples'][0]!r}"
        if "pattern" in each:
            return f"text that fits {each['pattern']}"
        edges = [
            f"{word} {each[key]:g}"
            for key, word in (
                ("minimum", "at least"),
                ("exclusiveMinimum", "more than"),
                ("maximum", "at most"),
                ("exclusiveMaximum", "less than"),
            )
            if key in each
        ]
        if each.get("type") in ("integer", "number", "boolean", "string", "array"):
            names = {"integer": "a whole number", "number": "a number", "boolean": "true or false"}
            return " ".join([names.get(each["type"], each["type"]), " and ".join(edges)]).strip()
    return ""


def shown(told: Any) -> str:
    text = repr(told)
    return text if len(text) <= 60 else text[:57] + "..."


def overrides_of(told: Mapping[str, Any], origin: str) -> list[Override]:
    return [Override(OVERRIDES[name], value, origin) for name, value in told.items() if value is not None]
