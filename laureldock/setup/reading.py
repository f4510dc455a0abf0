"""Reads and checks a configuration file: a plan and the origin of each value, or all faults."""

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
from laureldock.setup.faults import Path as KeyPath
from laureldock.setup.plan import Plan
from laureldock.setup.rules import Bounds, check
from laureldock.setup.units import decode

MAX_FILE_BYTES = 64 << 20  # enough for a few hundred thousand endpoints
ERROR_POSITION = re.compile(r" ?\(at (?:line (\d+), column \d+|end of document)\)")
# Settings that an environment variable or a flag of `serve` may override.
OVERRIDE_PATHS: dict[str, KeyPath] = {
    "name": ("name",),
    "seed": ("seed",),
    "state": ("state",),
    "listen": ("front", 0, "listen"),
    "log_level": ("log", "level"),
    "log_format": ("log", "format"),
}


@dataclass(frozen=True, slots=True)
class Override:
    """A value from outside the file and its origin: the environment or a flag."""

    path: KeyPath
    value: Any
    origin: str


@dataclass(slots=True)
class LoadedPlan:
    plan: Plan
    state: Path
    file: str = ""
    text: bytes = b""
    document: dict[str, Any] = field(default_factory=dict)
    overrides: list[Override] = field(default_factory=list)

    def origins(self) -> dict[KeyPath, str]:
        """Origin of each value that is not a default."""
        from laureldock.setup.places import line_numbers  # the parser is imported only to show lines

        lines = {path: f"{self.file}:{line}" for path, line in line_numbers(self.text).items()}
        return lines | {each.path: each.origin for each in self.overrides}


def load(path: str, overrides: list[Override] | None = None, bounds: Bounds | None = None) -> LoadedPlan:
    """Read and check a file. Raises RefusedError with all its faults."""
    overrides = overrides or []
    text, document = parse_file(path)
    for each in overrides:
        apply_override(document, each)
    try:
        plan = msgspec.convert(document, Plan, dec_hook=decode)
    except ValidationError as error:
        faults = list(form_faults(document, Plan, ())) or [Fault((), str(error))]
        raise RefusedError(locate_faults(path, text, faults, overrides)) from None
    state = Path(path).parent / plan.state
    faults = check(plan, bounds or Bounds()) + list(state_folder_faults(plan, state))
    if faults:
        raise RefusedError(locate_faults(path, text, faults, overrides))
    return LoadedPlan(plan, state, path, text, document, overrides)


def parse_file(path: str) -> tuple[bytes, dict[str, Any]]:
    line, reason = 0, ""
    try:
        text = read_limited(path)
        return text, tomllib.loads(text.decode())
    except OSError as error:
        reason = f"cannot be read: {error.strerror or error}"
    except UnicodeDecodeError as error:
        line, reason = error.object[: error.start].count(b"\n") + 1, "not UTF-8 text"
    except tomllib.TOMLDecodeError as error:
        position = ERROR_POSITION.search(str(error))
        end = text.count(b"\n") + 1
        line = int(position[1]) if position and position[1] else end
        reason = f"not TOML: {ERROR_POSITION.sub('', str(error))}"
    except RecursionError:
        reason = "not TOML: nested too deep"
    raise RefusedError([LocatedFault(path, line, Fault((), reason))])


def read_limited(path: str) -> bytes:
    with open(path, "rb") as file:
        text = file.read(MAX_FILE_BYTES + 1)
    if len(text) > MAX_FILE_BYTES:
        raise OSError(f"longer than {MAX_FILE_BYTES} bytes")
    return text


def apply_override(document: dict[str, Any], override: Override) -> None:
    """Set a value in the parsed document, and create the tables and arrays of tables on the way to it."""
    table: Any = document
    *parents, last = override.path
    for part, following in zip(parents, override.path[1:], strict=True):
        empty: Any = [] if isinstance(following, int) else {}
        if isinstance(table, list):
            while len(table) <= int(part):
                table.append({})
            table = table[int(part)]
        elif isinstance(table, dict):
            table = table.setdefault(str(part), empty)
    if isinstance(table, dict):
        table[str(last)] = override.value


def locate_faults(
    path: str, text: bytes, faults: list[Fault], overrides: list[Override]
) -> list[LocatedFault]:
    """Faults with their lines, sorted by line; those of overridden values have the origin instead."""
    from laureldock.setup.places import (
        line_numbers,
        nearest_line,
    )  # imported only to show lines, as in `origins`

    lines = line_numbers(text)
    outside = {each.path: each.origin for each in overrides}
    located = [
        LocatedFault(outside[fault.path], 0, fault)
        if fault.path in outside
        else LocatedFault(
            path, nearest_line(fault.path, lines), fault, nearest_line(fault.also, lines) if fault.also else 0
        )
        for fault in faults
    ]
    return sorted(located, key=lambda each: (each.file, each.line))


def state_folder_faults(plan: Plan, state: Path) -> Iterator[Fault]:
    """Faults of the state folder on this machine. A missing folder is created at startup."""
    folder = state
    while not folder.exists() and folder.parent != folder:
        folder = folder.parent
    if not folder.is_dir() or (state.exists() and not state.is_dir()):
        yield Fault(("state",), f"{folder} is not a folder", "a folder, or a path where one can be created")
    elif not os.access(folder, os.W_OK | os.X_OK):
        yield Fault(("state",), f"{folder} cannot be written to", "a folder that this user may write to")


# Faults of form. `msgspec.convert` in `load` stops at the first one; these functions walk the same types and
# report all of them.


def bare_type(kind: Any) -> Any:
    """The type without annotations and without None."""
    while get_origin(kind) is Annotated:
        kind = get_args(kind)[0]
    if get_origin(kind) in (Union, types.UnionType):
        some = [each for each in get_args(kind) if each is not type(None)]
        if len(some) == 1:
            return bare_type(some[0])
    return kind


def is_table(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, Struct)


def form_faults(given: Any, kind: Any, path: KeyPath) -> Iterator[Fault]:
    bare = bare_type(kind)
    if is_table(bare):
        yield from table_faults(given, bare, path)
    elif get_origin(bare) is dict and is_table(bare_type(get_args(bare)[1])):
        if not isinstance(given, dict):
            yield Fault(path, f"must be tables by name, not {abbreviated(given)}", f"[{path[-1]}.NAME]")
            return
        names, inner = get_args(bare)
        for name, value in given.items():
            yield from value_faults(name, names, (*path, name), "this name ")
            yield from form_faults(value, inner, (*path, name))
    elif get_origin(bare) is list and is_table(bare_type(get_args(bare)[0])):
        if not isinstance(given, list):
            yield Fault(path, f"must be an array of tables, not {abbreviated(given)}", f"[[{path[-1]}]]")
            return
        for index, value in enumerate(given):
            yield from form_faults(value, get_args(bare)[0], (*path, index))
    else:
        yield from value_faults(given, kind, path)


def table_faults(given: Any, kind: type[Struct], path: KeyPath) -> Iterator[Fault]:
    if not isinstance(given, dict):
        yield Fault(path, f"must be a table, not {abbreviated(given)}")
        return
    fields = {each.encode_name: each for each in msgspec.structs.fields(kind)}
    for name, value in given.items():
        if name in fields:
            yield from form_faults(value, fields[name].type, (*path, name))
        else:
            near = get_close_matches(name, fields, 1)
            reason = "unknown setting" + (f"; {near[0]!r} is meant?" if near else "")
            yield Fault((*path, name), reason, ", ".join(fields))
    for name, each in fields.items():
        if each.required and name not in given:
            yield Fault((*path, name), "is missing", allowed_values(each.type))


def value_faults(given: Any, kind: Any, path: KeyPath, what: str = "") -> Iterator[Fault]:
    try:
        msgspec.convert(given, kind, dec_hook=decode)
    except ValidationError as error:
        reason = str(error).partition(" - at `$")[0]
        yield Fault(
            path,
            what + reason[:1].lower() + reason[1:] + f" (it is {abbreviated(given)})",
            allowed_values(kind),
        )


def allowed_values(kind: Any) -> str:
    """Allowed values of a type in words, taken from its JSON Schema."""
    from laureldock.setup.units import schema

    described = msgspec.json.schema(kind, schema_hook=schema)
    for each in described.get("anyOf", [described]):
        if "enum" in each:
            return ", ".join(repr(one) for one in each["enum"])
        if "examples" in each:
            return f"text as {each['examples'][0]!r}"
        if "pattern" in each:
            return f"text that matches {each['pattern']}"
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


def abbreviated(given: Any) -> str:
    text = repr(given)
    return text if len(text) <= 60 else text[:57] + "..."


def overrides_of(given: Mapping[str, Any], origin: str) -> list[Override]:
    return [
        Override(OVERRIDE_PATHS[name], value, origin) for name, value in given.items() if value is not None
    ]
