"""Configuration files: refused with all their faults, printed and read back unchanged, reloaded."""

from __future__ import annotations

import copy
import json
from importlib.resources import files
from pathlib import Path
from typing import Any

import msgspec
import pytest
import tomlkit
from click.testing import CliRunner
from drivers import PLATFORM_SETTINGS
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from laureldock.cli import main
from laureldock.cli.config import annotated_toml
from laureldock.delivery_settings import DeliveryRegistry
from laureldock.setup import plan as model
from laureldock.setup.faults import RefusedError
from laureldock.setup.plan import Plan
from laureldock.setup.platform import plan_from_platform
from laureldock.setup.reading import Override, load, overrides_of
from laureldock.setup.reload import forbidden_changes
from laureldock.setup.units import Seconds, Size, decode, encode

BASE = """\
[limits]
slots = 16
[class.news]
effect = "redeliverable"
target_delay = "1s"
lifetime = "10s"
[class.order]
effect = "tagged"
memory = "20s"
target_delay = "1s"
lifetime = "10s"
in_order = true
[class.charge]
effect = "once-only"
target_delay = "1s"
lifetime = "10s"
[kind.shop]
window = 4
[destination.north]
kind = "shop"
[[endpoint]]
name = "n1"
destination = "north"
address = "127.0.0.1:9001"
[[endpoint]]
name = "s1"
destination = "south"
address = "127.0.0.1:9002"
"""
# Invalid changes of BASE: a replacement `old -> new`, or lines to add.
REFUSED = """\
slots = 16 -> slots = 0
slots = 16 -> slots = 1.5
slots = 16 -> slots = "many"
slots = 16 -> slots = 4000
slots = 16 -> slot = 16
slots = 16 -> connects = 9
slots = 16 -> connects = 0
slots = 16 -> copies = 1
slots = 16 -> key_rest = "100ms"
slots = 16 -> key_rest = 0.3
slots = 16 -> key_rest = "0.3 sec"
slots = 16 -> key_rest = "-1s"
slots = 16 -> drain_grace = "2s"
slots = 16 -> connect_time = "0s"
slots = 16 -> connect_time = "15s"
slots = 16 -> idle_time = "500ms"
slots = 16 -> disk = "64KB"
slots = 16 -> disk = 100000
slots = 16 -> disk = "1KiB"
slots = 16 -> sockets = 4
slots = 16 -> room = 0
slots = 16 -> rates = "exact"
slots = 16 -> fades = "fast"
slots = 16 -> over_quota = 1.5
[limits] -> [limit]
[limits] -> [[limits]]
[class.news] -> [klass.news]
[class.news] -> [class."with space"]
effect = "redeliverable" -> effect = "safe"
effect = "redeliverable" -> memory = "5s"
target_delay = "1s" -> target_delay = "30s"
target_delay = "1s" -> target_delay = "0s"
target_delay = "1s" -> target_delay = ""
target_delay = "1s" -> target_delay = 1
lifetime = "10s" -> lifetime = "10 parsecs"
memory = "20s" -> memory = "0s"
memory = "20s" -> one_zone = false
memory = "20s" -> resend = "any"
memory = "20s" -> memory = "20s"; resend = "sometimes"
effect = "once-only" -> effect = "once-only"; resend = "any"
effect = "once-only" -> effect = "once-only"; resend = "never"; connects = 3
effect = "once-only" -> effect = "once-only"; memory = "9s"
effect = "once-only" -> effect = "once-only"; one_zone = true
effect = "once-only" -> effect = "once-only"; connects = 12
effect = "once-only" -> effect = "once-only"; copies = 2
effect = "once-only" -> effect = "once-only"; importance = -1
effect = "once-only" -> effect = "once-only"; time_out = "11s"
effect = "once-only" -> effect = "once-only"; time_out = "0s"
effect = "once-only" -> effect = "once-only"; retry_after = "1h"
effect = "once-only" -> effect = "once-only"; window = 3
in_order = true -> copies = 2
in_order = true -> in_order = "yes"
window = 4 -> window = 12
window = 4 -> window = 0
window = 4 -> batch = 0
window = 4 -> apart = 2
window = 4 -> copies = 2; copy_after = "20s"
window = 4 -> copies = 3
kind = "shop" -> kind = "shpo"
kind = "shop" -> kind = 7
[destination.north] -> [destination.nroth]
[destination.north] -> [destination."no rth"]
name = "n1" -> name = "s1"
name = "n1" -> name = ""
name = "n1" -> connects = 2
name = "n1" -> time_out = "12s"
name = "n1" -> window = 30
name = "n1" -> rate = -4
name = "n1" -> rate = "fast"
destination = "south" -> destination = "south pole"
destination = "south" -> zone = "a"
address = "127.0.0.1:9002" -> address = "127.0.0.1"
address = "127.0.0.1:9002" -> address = "127.0.0.1:99999"
address = "127.0.0.1:9002" -> address = 9002
address = "127.0.0.1:9002" -> rate = 3.0
[[front]]; listen = "nowhere"
[[front]]; listen = "127.0.0.1:1"; [[front]]; listen = "127.0.0.1:1"
[[front]]; kind = "telex"
[[front]]; pipeline = 0
[front]; listen = "127.0.0.1:1"
[source]; kind = "platform"
[source]; kind = "platform"; address = "127.0.0.1:5"
[source]; address = "127.0.0.1:5"
[outlet]; kind = "lines"
[outlet]; path = "x"
[outlet]; kind = "platform"
[log]; level = "loud"
[log]; burst = 0
[log]; format = "xml"
[returning]; start_capacity = 0
[returning]; tip_multiple = 0.5
[returning]; warm_time = "0s"
[[terms]]; class = "news"
[[terms]]; class = "nwes"; connects = 2
[[terms]]; class = []; connects = 2
[[terms]]; kind = "shop"; destination = "north"; connects = 2
[[terms]]; destination = "west"; connects = 2
[[terms]]; route = "n7"; time_out = "2s"
[[terms]]; route = "n1"; connects = 2
[[terms]]; class = "news"; destination = "north"; window = 2
[[terms]]; window = 2
[[terms]]; class = "news"; time_out = "2s"; [[terms]]; class = ["news", "order"]; time_out = "3s"
[[terms]]; class = "news"; time_out = "2s"; [[terms]]; route = "n1"; time_out = "3s"
[[terms]]; class = "news"; connects = 2; [[terms]]; kind = "shop"; connects = 3
[[terms]]; kind = "shop"; retry_after = "2s"; [[terms]]; kind = "shop"; retry_after = "1s"
[[terms]]; class = "charge"; kind = "shop"; connects = 20; copies = 2
[[terms]]; clas = "news"; connects = 2
[customer.x]; quota = -1
[customer]; x = 3
name = "a b"
seed = -1
state = "laureldock.toml/state"
reports = "x0"
instances = 0
[fleet]; name = "f"
[fleet]; name = "f"; listen = "0.0.0.0:7946"
[fleet]; name = "f"; listen = "here:7946"
[fleet]; name = "f"; listen = "127.0.0.1:6379"
[fleet]; name = "f"; listen = "127.0.0.1:7946"; period = "1ms"
[fleet]; name = "f"; listen = "127.0.0.1:7946"; period = "30s"; forget = "1min"
[fleet]; name = "f f"; listen = "127.0.0.1:7946"; seeds = "127.0.0.1:7947"
"""
INVALID_FILES: dict[str, str | bytes] = {
    "no endpoint": BASE[: BASE.index("[[endpoint]]")],
    "no class": '[[endpoint]]\ndestination = "a"\naddress = "h:1"\n',
    "nothing": "",
    "half written": BASE[:100],
    "a key twice": "seed = 1\nseed = 2\n",
    "open text": 'name = "dock',
    "not TOML": "{}",
    "no UTF-8": b"name = '\xff\xfe'\n",
    "nul bytes": b"\0\0\0\0",
    "deep": "seed = " + "[" * 5000,
}  # fmt: skip


def changed(case: str) -> str:
    old, arrow, new = case.partition(" -> ")
    if arrow:
        assert old in BASE
        return BASE.replace(old, new.replace("; ", "\n"), 1)
    behind = case.replace("; ", "\n") + "\n"
    return BASE + behind if case.startswith("[") else behind + BASE


def faults(path: Path, text: str | bytes) -> list[str]:
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    try:
        load(str(path))
    except RefusedError as refused_for:
        return [str(fault).replace(f"{path.parent}/", "") for fault in refused_for.faults]
    return []


def test_invalid_files_are_refused_each_with_its_faults(tmp_path: Path) -> None:
    from drivers import Trace

    path, trace = tmp_path / "laureldock.toml", Trace()
    assert not faults(path, BASE)
    cases = {**{case: changed(case) for case in REFUSED.splitlines()}, **INVALID_FILES}
    for case, text in cases.items():
        found = faults(path, text)
        assert found, case
        trace.lines += [f"{case}", *(f"    {line}" for line in found)]
    assert len(cases) >= 80 and trace.matches_trace("refused")


def test_all_faults_are_printed_in_one_run_with_exit_code_2_and_no_traceback(tmp_path: Path) -> None:
    path = tmp_path / "laureldock.toml"
    path.write_text(BASE.replace("slots = 16", "slots = 0\nconnects = 'x'").replace('"1s"', '"1 s."'))
    for command in (["config", "check"], ["config", "show"], ["serve"]):
        done = CliRunner().invoke(main, [*command, str(path)])
        assert done.exit_code == 2 and "5 faults" in done.output and "Traceback" not in done.output
    printed = json.loads(CliRunner().invoke(main, ["config", "check", "--json", str(path)]).stdout)
    assert [each["line"] for each in printed["faults"]] == [2, 3, 6, 11, 16]
    for place in (tmp_path, tmp_path / "none.toml"):
        done = CliRunner().invoke(main, ["config", "check", str(place)])
        assert done.exit_code == 2 and "cannot be read" in done.output


def test_the_example_passes_and_the_schema_describes_every_table(tmp_path: Path) -> None:
    path = tmp_path / "example.toml"
    path.write_text(CliRunner().invoke(main, ["config", "example"]).output)
    assert CliRunner().invoke(main, ["config", "check", str(path)]).exit_code == 0
    schema = json.loads(CliRunner().invoke(main, ["config", "schema"]).output)
    assert schema["$defs"]["Limits"]["properties"]["key_rest"]["default"] == "300ms"
    assert set(schema["$defs"]["Plan"]["properties"]) >= {"class", "terms", "endpoint", "limits"}


def test_flags_override_environment_over_file_over_defaults(tmp_path: Path) -> None:
    path = tmp_path / "laureldock.toml"
    path.write_text('name = "in-file"\nseed = 4\n' + BASE)
    overrides = overrides_of({"name": "env", "log_level": "debug"}, "environment")
    loaded = load(str(path), [*overrides, *overrides_of({"name": "flag"}, "flag")])
    assert (loaded.plan.name, loaded.plan.seed, loaded.plan.log.level) == ("flag", 4, "debug")
    text = annotated_toml(loaded)
    assert 'name = "flag" # flag' in text and "seed = 4 # " + str(path) + ":2" in text
    assert 'level = "debug" # environment' in text and "instances = 1 # default" in text
    with pytest.raises(RefusedError, match="flag: front"):
        load(str(path), [Override(("front", 0, "listen"), "nowhere", "flag")])


# Valid files, with the units and spellings that operators use


def seconds(least: float, most: float) -> st.SearchStrategy[str]:
    number = st.integers(round(least * 1000), round(most * 1000))
    return number.map(lambda ms: f"{ms}ms") | number.map(lambda ms: f"{ms / 1000}s")


@st.composite
def documents(draw: st.DrawFn) -> dict[str, object]:
    some: dict[str, st.SearchStrategy[object]] = {
        "importance": st.floats(0, 100),
        "connects": st.integers(1, 8),
        "time_out": seconds(0.1, 2),
        "in_order": st.booleans(),
        "late_share": st.floats(0, 1),
    }
    classes: dict[str, dict[str, object]] = {}
    for name in draw(st.lists(st.sampled_from("abcdef"), min_size=1, max_size=4, unique=True)):
        effect = draw(st.sampled_from(["redeliverable", "tagged", "once-only"]))
        table: dict[str, object] = {
            "effect": effect,
            "target_delay": draw(seconds(0.1, 2)),
            "lifetime": draw(seconds(2, 60)),
        }
        table |= {"memory": draw(seconds(1, 60))} if effect == "tagged" else {}
        table |= draw(st.fixed_dictionaries({}, optional=some))
        classes[name] = table
    endpoints = [
        {"destination": draw(st.sampled_from(["7", "north", "s.w"])), "address": f"127.0.0.1:{9000 + place}"}
        | draw(st.fixed_dictionaries({}, optional={"rate": st.floats(0, 1e6), "window": st.integers(1, 8)}))
        for place in range(draw(st.integers(1, 5)))
    ]
    limits = draw(
        st.fixed_dictionaries(
            {},
            optional={
                "slots": st.integers(12, 256),
                "key_rest": seconds(0.3, 9),
                "disk": st.integers(64, 10**6).map(lambda size: f"{size}KiB"),
                "probes": st.booleans(),
            },
        )
    )
    return {"seed": draw(st.integers(0, 1 << 40)), "class": classes, "endpoint": endpoints, "limits": limits}


@settings(max_examples=40, deadline=None, derandomize=True,
          suppress_health_check=[HealthCheck.function_scoped_fixture])  # fmt: skip
@given(documents())
def test_a_printed_configuration_reads_back_unchanged(tmp_path: Path, document: dict[str, object]) -> None:
    path, again = tmp_path / "laureldock.toml", tmp_path / "again.toml"
    path.write_text(tomlkit.dumps(document))
    loaded = load(str(path))
    again.write_text(annotated_toml(loaded))
    assert load(str(again)).plan == loaded.plan
    assert not forbidden_changes(loaded.plan, load(str(again)).plan)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.floats(0, 1e7, allow_nan=False), st.integers(0, 1 << 50))
def test_durations_and_sizes_read_back_unchanged(duration: float, size: int) -> None:
    for kind, value in ((Seconds, duration), (Size, size)):
        assert decode(kind, encode(kind(value))) == value


# Terms


def load_with_registry(text: str, path: Path) -> tuple[Plan, DeliveryRegistry]:
    path.write_text(BASE + text)
    plan = load(str(path)).plan
    return plan, DeliveryRegistry(plan, sockets=True)


def test_the_narrower_entry_wins_and_an_entry_that_names_both_resolves_a_conflict(tmp_path: Path) -> None:
    text = """
[[terms]]
time_out = "5s"
[[terms]]
class = "news"
time_out = "4s"
[[terms]]
route = "n1"
time_out = "3s"
[[terms]]
class = "news"
route = "n1"
time_out = "2s"
[[terms]]
class = "charge"
destination = "north"
importance = 9.0
connects = 2
retry_after = "500ms"
"""
    from laureldock.sources.listed import listed_endpoints

    plan, terms = load_with_registry(text, tmp_path / "laureldock.toml")
    routes = {
        route.name: route for route in terms.update_list([entry for entry, _ in listed_endpoints(plan)], True)
    }
    found = {name: route.timeouts for name, route in routes.items()}
    assert found == {
        "n1": {"": 3.0, "news": 2.0, "order": 3.0, "charge": 3.0},
        "s1": {"": 5.0, "news": 4.0, "order": 5.0, "charge": 5.0},
    }
    assert (routes["n1"].destination.window, routes["s1"].destination.window) == (4, float("inf"))
    message = terms.new_message(terms.classes["charge"], "north", 10.0)
    assert message.terms and (message.terms.importance, message.terms.max_attempts) == (9.0, 2)
    assert message.terms.max_retry_after == 0.5
    assert terms.new_message(terms.classes["charge"], "south", 10.0).terms is None


def test_a_reload_may_change_terms_and_endpoints_and_nothing_else(tmp_path: Path) -> None:
    path = tmp_path / "laureldock.toml"
    plan, _ = load_with_registry("", path)
    free = BASE.replace("window = 4", "window = 5").replace("9002", "9003")
    free = free.replace('effect = "once-only"', 'effect = "once-only"\nimportance = 7.0')
    path.write_text('log = {level = "debug"}\n' + free + '[[terms]]\nclass = "news"\nconnects = 2\n')
    assert forbidden_changes(plan, load(str(path)).plan) == []
    path.write_text(BASE.replace("slots = 16", "slots = 17").replace('"10s"', '"11s"'))
    assert forbidden_changes(plan, load(str(path)).plan) == [
        "class.charge.lifetime", "class.news.lifetime", "class.order.lifetime", "limits.slots"
    ]  # fmt: skip
    table = '[fleet]\nname = "f"\nlisten = "127.0.0.1:7946"\nseeds = ["127.0.0.2:7946"]\n'
    path.write_text(BASE + table)
    plan = load(str(path)).plan
    path.write_text(BASE + table.replace("0.2", "0.3"))
    assert forbidden_changes(plan, load(str(path)).plan) == []
    path.write_text(BASE + table + 'period = "2s"\n')
    assert forbidden_changes(plan, load(str(path)).plan) == ["fleet.period"]
    path.write_text(BASE)
    assert "fleet.name" in forbidden_changes(plan, load(str(path)).plan)


def test_the_example_file_is_the_documented_default() -> None:
    """The commented settings of the example show the defaults."""
    text = files("laureldock.setup").joinpath("example.toml").read_text()
    commented = [line[2:].split("#")[0].strip() for line in text.splitlines() if line.startswith("# ")]
    limits = msgspec.to_builtins(model.Limits(), enc_hook=encode)
    pairs = [line.split(" = ") for line in commented if " = " in line]
    shown_defaults = {name: json.loads(value) for name, value in pairs if name in limits}
    assert len(shown_defaults) >= 6 and all(limits[name] == value for name, value in shown_defaults.items())


# Files without entries: those of a controller and of dispatchers that follow it

ENTRIES = BASE.index("[destination.north]")
FOLLOWING = '[source]\nkind = "controller"\ncontrollers = ["127.0.0.1:7000"]\n'
CONTROLLER = '[controller]\nlisten = "127.0.0.1:7000"\n'


@pytest.mark.parametrize("text", [BASE[:ENTRIES] + FOLLOWING, "front = []\n" + BASE[:ENTRIES] + CONTROLLER])
def test_a_file_with_a_controller_has_no_entries(tmp_path: Path, text: str) -> None:
    path = tmp_path / "laureldock.toml"
    assert faults(path, text) == []
    entries = BASE[ENTRIES:] + '[[terms]]\nclass = "news"\nconnects = 2\n[customer.x]\nquota = 1.0\n'
    found = faults(path, text + entries)
    for table in ("endpoint", "destination", "terms", "customer"):
        assert any(f": {table}: entries come from a controller's changes" in fault for fault in found), found


@pytest.mark.parametrize(
    ("text", "place"),
    [
        (BASE[:ENTRIES] + '[source]\nkind = "controller"\n', "source.controllers"),
        (BASE + '[source]\ncontrollers = ["127.0.0.1:7000"]\n', "source.controllers"),
        (BASE[:ENTRIES] + FOLLOWING + 'address = "127.0.0.1:5"\n', "source.address"),
        (BASE[:ENTRIES] + FOLLOWING + CONTROLLER, "source.kind"),
        (BASE[:ENTRIES] + FOLLOWING.replace("7000", "70000"), "source.controllers"),
        (BASE[:ENTRIES] + CONTROLLER.replace("7000", ""), "controller.listen"),
    ],
)
def test_controllers_are_named_only_by_a_controller_source(tmp_path: Path, text: str, place: str) -> None:
    assert any(f": {place}" in fault for fault in faults(tmp_path / "laureldock.toml", text))


def test_a_reload_applies_customers_and_recreates_an_endpoint_of_another_zone(tmp_path: Path) -> None:
    """Earlier, a reload ignored both, and led to another state than a controller's changes."""
    from offline_assembly import OfflineAssembly

    path = tmp_path / "laureldock.toml"
    customers = "[customer.kept]\nquota = 2.0\n[customer.other]\nquota = {quota}\n"
    path.write_text(BASE + customers.format(quota=1.0))
    dispatcher = OfflineAssembly(load(str(path)).plan, tmp_path / "state")
    try:
        registry = dispatcher.core.registry
        kept, route = registry.customers["kept"], registry.routes["s1"]
        path.write_text(BASE + 'zone = "b"\n' + customers.format(quota=3.0))
        dispatcher.apply_reload(load(str(path)).plan)
        assert registry.customers["kept"] is kept and registry.customers["other"].quota == 3.0
        assert registry.routes["s1"].zone == "b" and route.listed_state.value == "removed"
        assert not dispatcher.core.counters["configurations refused"]
    finally:
        dispatcher.close()


def test_other_importance_of_a_class_holds_for_messages_accepted_after_the_reload(tmp_path: Path) -> None:
    """A platform's reload kept the importance that the class had at the start of the process."""
    document: dict[str, Any] = {
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.9:9", "seed": "7", "known": {},
        "limits": {"cores": 1, "memory_mb": 64, "sockets": 64, "disk_mb": 1},
    }  # fmt: skip
    plans = []
    for points in (5, 8):
        settings = copy.deepcopy(PLATFORM_SETTINGS)
        settings["classes"][3]["points"] = points
        file = tmp_path / "config.json"
        file.write_text(json.dumps({**document, "settings": settings}))
        plans.append(plan_from_platform({"LB_CONFIG": str(file), "LB_STATE": str(tmp_path)})[0])
    registry = DeliveryRegistry(plans[0], sockets=True)
    registry.update_classes(plans[1])
    charge = registry.classes["charge"]
    terms = registry.new_message(charge, 7, 5.0).terms
    assert charge.importance == 8 and (terms is None or terms.importance == 8)
