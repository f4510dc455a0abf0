"""Where in a TOML file a setting stands. Used only to show faults and origins: the parser tells no lines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import tree_sitter
import tree_sitter_toml

from laureldock.setup.faults import Path

TABLES = ("table", "table_array_element")


def places(text: bytes) -> dict[Path, int]:
    """The line of each table and each key, by its path; items of arrays are numbered from nought."""
    parser = tree_sitter.Parser(tree_sitter.Language(tree_sitter_toml.language()))
    found: dict[Path, int] = {}
    counts: Counter[Path] = Counter()
    for node in parser.parse(text).root_node.named_children:
        base: Path = ()
        pairs = [node]
        if node.type in TABLES:
            parts = node.named_children
            base = resolved(keys(parts[0]), counts)
            if node.type == "table_array_element":
                counts[base] += 1
                base = (*base, counts[base] - 1)
            found.setdefault(base, node.start_point[0] + 1)
            pairs = parts[1:]
        for pair in pairs:
            if pair.type == "pair":
                found.update((path, line) for path, line in values(pair, base) if path not in found)
    return found


def resolved(path: Path, counts: Counter[Path]) -> Path:
    """A header below an array of tables is of its last item."""
    known: Path = ()
    for place, part in enumerate(path):
        known = (*known, part)
        if place < len(path) - 1 and counts[known]:
            known = (*known, counts[known] - 1)
    return known


def keys(node: tree_sitter.Node) -> Path:
    if node.type == "dotted_key":
        return tuple(part for child in node.named_children for part in keys(child))
    text = (node.text or b"").decode(errors="replace")
    return (text.strip("\"'") if node.type == "quoted_key" else text,)


def values(pair: tree_sitter.Node, base: Path) -> Iterator[tuple[Path, int]]:
    parts = [child for child in pair.named_children if child.type != "comment"]
    if len(parts) < 2:
        return
    path = (*base, *keys(parts[0]))
    for end in range(len(base) + 1, len(path) + 1):
        yield path[:end], pair.start_point[0] + 1
    yield from inside(parts[1], path)


def inside(value: tree_sitter.Node, path: Path) -> Iterator[tuple[Path, int]]:
    if value.type == "inline_table":
        for child in value.named_children:
            if child.type == "pair":
                yield from values(child, path)
    elif value.type == "array":
        items = (child for child in value.named_children if child.type != "comment")
        for place, child in enumerate(items):
            yield (*path, place), child.start_point[0] + 1
            yield from inside(child, (*path, place))


def nearest_line(path: Path, found: dict[Path, int]) -> int:
    """Of the place, or of the nearest table around it; 1 if none."""
    while path and path not in found:
        path = path[:-1]
    return found.get(path, 1)
