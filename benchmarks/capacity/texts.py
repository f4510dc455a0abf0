"""Texts of the page outside its tables."""

from __future__ import annotations

from benchmarks.capacity.full_size import FullSize

HEAD = """\
# Capacity

Written by `python -m benchmarks.capacity --write docs/CAPACITY.md` out of the readings in
`benchmarks/slopes/*.json`; a test holds the page to them. Change the readings or the script, not this page.
Why which mechanism was chosen first stands in [a note of its own](design/capacity.md).

## The size

{dispatchers} dispatchers take {events} events a second for {destinations} destinations, {down} of them down
at any time. Backlogs of up to {backlog} billion messages; {regions} regions, {zones} zones; {changes} changes
of configuration a day, in force everywhere within {in_force} s. A dispatcher may spend {core} of a core,
{memory} MB and {bytes} KB a second on control; {machines} machines are set aside for it.

In each row: **measured** is a value within the sizes that were measured; **reckoned** goes along the straight
line beyond them, or multiplies a measured slope by a rate; **assumed** is a figure that was chosen or follows
from the operators' figures alone; **bent** says that the medians lie that far off their line, so that what is
reckoned beyond them may be far off too. The range is what the line says with any one of its sizes left out,
or the least and the greatest value. A carrier is a module of this project; "missing" says that nothing
carries it. A ratio over 1 is over its budget.
"""
SLOPES = """\
Load is how many processes wanted one of the 8 cores meanwhile, where it was kept: processor time grows with
it, by a half and more; memory, bytes and messages do not.
"""
FAILURES = """\
What a failure costs is what all members of the view send in the ten periods after it, as for the nearest
share that was measured: 1% of the members for up to a rack, 10% for a zone and a region. Where all members
fail, nobody is left to send.
"""
THIN_LOAD = """\
One dispatcher meets one destination once in {minutes:.0f} minutes. All that it learns of it by itself is that
old.
"""
MISSING = """\
By the greatest need over a budget; behind them, in no order, what has needs without a budget only. What is
over its budget is named with its ratio, what has none with its value.
"""
BUILT = "Mechanisms that the project has, with the need that they stand against.\n"

SLOPES_HEAD = (
    "| slope | unit | against | sizes | value at the largest (spread) | one more (range) | residual"
    " | date, commit, load |"
)
FIRST_HEAD = "| what | first reading | ours (range) | verdict |"
ROWS_HEAD = "| what | value (range) | basis | from | budget | ratio | carried by | |"
FAILURES_HEAD = "| failure | often | what happens | for how long | the view sends | operators see | missing |"
MISSING_HEAD = "| missing | need over budget | of what |"
BUILT_HEAD = "| mechanism | need over budget without it | of what |"


def head(size: FullSize) -> str:
    """The top of the page."""
    return HEAD.format(
        dispatchers=f"{size.dispatchers:,}",
        events=f"{size.events:,.0f}",
        destinations=f"{size.destinations:,}",
        down=f"{size.down_share:.1%}",
        backlog=f"{size.backlog / 1e9:g}",
        regions=size.regions,
        zones=size.zones,
        changes=f"{size.changes:,.0f}",
        in_force=f"{size.in_force_within:g}",
        core=f"{size.control_core:.1%}",
        memory=f"{size.control_memory / 1e6:g}",
        bytes=f"{size.control_bytes / 1e3:g}",
        machines=size.control_machines,
    )
