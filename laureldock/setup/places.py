"""Line numbers of settings in a TOML file, to show faults and origins. `tomllib` does not report them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import tree_sitter
import tree_sitter_toml

from laureldock.setup.faults import Path

TABLE_NODES = ("table", "table_array_element")


def line_numbers(text: bytes) -> dict[Path, int]:
    """The line of each table and key, by its path; array items are numbered from 0."""
    parser = tree_sitter.Parser(tree_sitter.Language(tree_sitter_toml.language()))
    lines: dict[Path, int] = {}
    counts: Counter[Path] = Counter()
    for node in parser.parse(text).root_node.named_children:
        base: Path = ()
        pairs = [node]
        if node.type in TABLE_NODES:
            parts = node.named_children
            base = with_array_index(key_parts(parts[0]), counts)
            if node.type == "table_array_element":
                counts[base] += 1
                base = (*base, counts[base] - 1)
            lines.setdefault(base, node.start_point[0] + 1)
            pairs = parts[1:]
        for pair in pairs:
            if pair.type == "pair":
                lines.update((path, line) for path, line in pair_lines(pair, base) if path not in lines)
    return lines


def with_array_index(path: Path, counts: Counter[Path]) -> Path:
    """The path of a table header; below an array of tables, a header belongs to the last item."""
    prefix: Path = ()
    for index, part in enumerate(path):
        prefix = (*prefix, part)
        if index < len(path) - 1 and counts[prefix]:
            prefix = (*prefix, counts[prefix] - 1)
    return prefix


def key_parts(node: tree_sitter.Node) -> Path:
    if node.type == "dotted_key":
        return tuple(part for child in node.named_children for part in key_parts(child))
    text = (node.text or b"").decode(errors="replace")
    return (text.strip("\"'") if node.type == "quoted_key" else text,)


def pair_lines(pair: tree_sitter.Node, base: Path) -> Iterator[tuple[Path, int]]:
    parts = [child for child in pair.named_children if child.type != "comment"]
    if len(parts) < 2:
        return
    path = (*base, *key_parts(parts[0]))
    for end in range(len(base) + 1, len(path) + 1):
        yield path[:end], pair.start_point[0] + 1
    yield from nested_lines(parts[1], path)


def nested_lines(value: tree_sitter.Node, path: Path) -> Iterator[tuple[Path, int]]:
    if value.type == "inline_table":
        for child in value.named_children:
            if child.type == "pair":
                yield from pair_lines(child, path)
    elif value.type == "array":
        items = (child for child in value.named_children if child.type != "comment")
        for index, child in enumerate(items):
            yield (*path, index), child.start_point[0] + 1
            yield from nested_lines(child, (*path, index))


def nearest_line(path: Path, lines: dict[Path, int]) -> int:
    """Line of the path, or of the innermost table around it that has one; 1 if there is none."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)
