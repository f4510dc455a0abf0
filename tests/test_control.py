"""Short traces of decisions, compared with the ones kept in `traces/`."""

from __future__ import annotations

from dock import SORTS, Dock

from laureldock import interface


def test_messages_spread_over_closed_circuits_by_the_routes_rates() -> None:
    dock = Dock(slots=40)
    dock.listed("north/1", rate=300.0)
    dock.listed("north/2", rate=100.0)
    for number in range(12):
        dock.mail(f"m{number}", "redeliverable")
        dock.turn()
        dock.end(f"m{number}", "served", report=(1.0, 0.0))
        dock.now += 0.1
    assert dock.same_as("draw")


def test_while_slots_are_scarce_the_route_with_short_calls_gets_more() -> None:
    """Guards against even shares while a call to one route holds a slot as long as three others."""
    dock = Dock(slots=8)
    dock.listed("north/1", "north/2", "south/1")
    drawn: list[str] = []

    def play(name: str, to: str = "north") -> None:
        dock.mail(name, "redeliverable", to)
        dock.turn()
        route = dock.out[name].route.name
        dock.now += 0.15 if route == "north/1" else 0.05
        dock.end(name, "served", report=(1.0, 0.0))
        drawn.append(route[-1])

    for number in range(30):
        play(f"free{number}")
        play(f"south{number}", "south")
    for number in range(7):  # five and two of eight slots
        dock.mail(f"held{number}", "redeliverable", "south" if number < 5 else "north")
    dock.turn()
    free, drawn = drawn[::2], []
    for number in range(30):
        play(f"scarce{number}")
    dock.lines = [f"free:   {''.join(free)}", f"scarce: {''.join(drawn)}"]
    assert dock.same_as("thrift")


def test_calls_without_a_response_are_cancelled_while_all_slots_are_taken() -> None:
    """Guards against silent calls that hold slots for three times what nine in ten calls take, and longer."""
    dock = Dock(slots=2)
    dock.listed("north/1", "south/1")
    dock.mail("paid", "once-only")
    dock.turn()
    for number in range(30):  # answered at once or never: one in six
        name = f"m{number}"
        dock.mail(name, "redeliverable", "south")
        dock.after(0.1)
        if number % 6 == 5:
            for _ in range(70):
                called_off = [line for line in dock.lines if "called off" in line]
                if name in dock.out and any(name in line for line in called_off):
                    dock.end(name, "cancelled")
                    dock.withdraw(name)
                    break
                dock.after(0.05)
        elif name in dock.out:
            dock.end(name, "served")
    dock.lines = [line for line in dock.lines if "called off" in line or "paid" in line]
    assert dock.same_as("give-way")


def test_a_once_only_call_without_a_response_is_cancelled_at_twice_its_limit() -> None:
    """Guards against a single overdue call that holds its slot for the lifetime of its message."""
    dock = Dock(slots=4)
    dock.listed("north/1", "south/1", "east/1", "west/1")
    dock.mail("paid", "once-only")
    for number in range(80):
        names = {f"{to}{number}": to for to in ("south", "east", "west")}
        for name, to in names.items():
            dock.mail(name, "redeliverable", to)
        dock.after(0.1)
        for name in names:
            dock.end(name, "served")
    dock.lines = [line for line in dock.lines if "paid" in line]
    assert dock.same_as("give-way-once")


def test_a_run_of_failures_opens_the_circuit_until_a_trial_is_served() -> None:
    dock = Dock()
    dock.listed("north/1")
    for number in range(5):
        dock.mail(f"m{number}", "redeliverable")
    dock.turn()
    for _ in range(3):
        for name in sorted(dock.out):
            dock.end(name, "error")
        dock.after(0.05)
    dock.after(1.0)
    dock.end(min(dock.out), "served", report=(1.0, 4.0))
    dock.after(2.5)
    assert dock.same_as("failover")


def test_a_requested_wait_binds_also_beside_a_trial() -> None:
    """Guards against dropping a wait that a call requests while a trial is in flight beside it."""
    dock = Dock()
    dock.listed("north/1")
    for number in range(3):
        dock.mail(f"m{number}", "redeliverable")
        dock.turn()
        if number == 0:
            dock.end("m0", "served", report=(1.0, 0.0))
    dock.end("m1", "full", wait=0.2)
    dock.after(0.3)
    dock.end("m2", "full", wait=1.0)
    dock.after(0.2)
    dock.end(min(dock.out), "served", report=(1.0, 0.0))
    dock.after(1.0)
    assert dock.same_as("wait")


def test_retries_by_queue_class_and_result() -> None:
    lines: list[str] = []
    for sort in ("redeliverable", "tagged", "once-only"):
        for ending in ("full", "error", "time-out"):
            dock = Dock()
            dock.listed("north/1", "north/2")
            name = f"{sort} {ending}"
            dock.mail(name, sort, left=4.0)
            dock.turn()
            dock.end(name, ending, report=(0.1, 100.0) if ending == "full" else None)
            dock.turn()
            lines += dock.lines
    dock.lines = lines
    assert dock.same_as("answers")


def test_messages_of_a_key_go_in_order_and_cool_down_after_a_timeout() -> None:
    """A message withdrawn out of order, and one whose attempt timed out, both leave the key in cooldown."""
    dock = Dock()
    dock.listed("north/1", "north/2")
    for name in ("first", "second", "third"):
        dock.mail(name, "in-order", key="k")
    dock.turn()
    dock.withdraw("first")
    dock.withdraw("second")
    dock.after(0.2)
    dock.end("first", "cancelled")
    dock.after(0.4)
    dock.end("third", "served", report=(1.0, 0.0))
    dock.turn()
    assert dock.same_as("order")


def test_the_end_of_a_cooldown_leaves_newer_messages_of_its_key_alone() -> None:
    """The end of a cooldown once dropped the key's newer messages, too: the next did not wait for them."""
    dock = Dock()
    dock.listed("north/1", "north/2")
    for name in ("w1", "w2", "w3"):  # the window of the destination grows with each that is served
        dock.mail(name, "redeliverable")
        dock.turn()
        dock.end(name, "served")
    for name in ("first", "second"):
        dock.mail(name, "in-order", key="k")
    dock.turn()
    dock.end("first", "cancelled")
    dock.withdraw("first")  # the key rests, and is to be looked at when that is over
    dock.now += 0.31  # with no turn, as where all of this comes in at one look
    dock.withdraw("second")
    dock.mail("third", "in-order", key="k")
    dock.turn()
    dock.mail("fourth", "in-order", key="k")
    dock.turn()
    assert "third" in dock.out and "fourth" not in dock.out, dock.lines


def test_a_key_pending_in_a_peer_process_waits_and_what_is_taken_over_goes_first() -> None:
    """Guards against sending a key's next message here before the one that is pending in a peer process."""
    dock = Dock()
    dock.listed("north/1")
    dock.control.update_peer_load(
        dock.now, interface.PeerLoad(1, pending=1, first_accepted_at={"k": dock.now - 0.01})
    )
    dock.mail("here", "in-order", key="k")
    dock.after(0.2)
    dock.say("the other process has ended; its mail of k is taken over")
    dock.control.update_peer_load(dock.now, interface.PeerLoad())
    queue_class, destination = SORTS["in-order"], dock.destinations["north"]
    there = interface.Message(queue_class, destination, queue_class.lifetime, None, "k", accepted_at=99.99)
    dock.mails["there"], dock.names[there] = there, "there"
    dock.control.message_accepted(dock.now, there)
    dock.after(0.2)
    dock.end("there", "served")
    dock.after(0.1)
    assert dock.same_as("handover")


def test_a_limit_used_up_is_no_outage_and_messages_share_a_call() -> None:
    """Refusals above a limit once opened circuits and left routes cold for a quarter of the day."""
    dock = Dock()
    dock.listed("north/1", rate=2.0, batch=5)
    for number in range(4):
        dock.mail(f"m{number}", "redeliverable")
    dock.turn()
    for name in sorted(dock.out):
        dock.end(name, "full", report=(0.1, 2.0))
    dock.after(2.1)
    for name in sorted(dock.out):
        dock.end(name, "served", report=(0.9, 2.0))
    dock.turn()
    assert dock.same_as("limit")


def test_calls_above_a_limit_become_ever_rarer() -> None:
    """Instances that each retried as soon as a requested wait was over once kept a limit used up for good."""
    dock = Dock()
    dock.listed("north/1", rate=3.0)
    dock.mail("m", "redeliverable")
    dock.turn()
    for _ in range(5):
        if "m" in dock.out:
            dock.end("m", "full", wait=0.2, report=(0.0, 3.0))
        dock.after(2.0)
    assert dock.same_as("livelock")


def test_a_silent_route_does_not_block_its_destination() -> None:
    """Two once-only messages that hung once filled a shrunk window for their whole lifetime."""
    dock = Dock()
    dock.listed("north/1", "north/2")
    for number in range(4):
        dock.mail(f"m{number}", "redeliverable")
        dock.turn()
        dock.end(f"m{number}", "served", report=(1.0, 0.0))
    for number in range(4):
        dock.mail(f"hung{number}", "once-only")
    dock.after(0.5)
    dock.mail("late", "redeliverable")
    dock.after(0.9)
    dock.end("late", "served", report=(1.0, 0.0))
    dock.after(2.0)
    for name in ("hung0", "hung1"):
        dock.end(name, "cancelled")
    dock.after(0.1)
    dock.mail("later", "redeliverable")
    dock.after(0.1)
    assert dock.same_as("silence")


def test_once_only_messages_wait_for_a_steady_route() -> None:
    """A receiver that failed some of its calls once bounced every such message that met it."""
    dock = Dock()
    dock.listed("north/1")
    for number in range(3):
        dock.mail(f"m{number}", "redeliverable")
    dock.turn()
    dock.end("m0", "error")
    dock.mail("charge", "once-only")
    for _ in range(3):
        dock.after(0.1)
        if dock.out:
            dock.end(min(dock.out), "served", report=(1.0, 0.0))
    dock.after(1.0)
    assert dock.same_as("steady")


def test_a_message_too_late_for_its_trial_does_not_leave_the_circuit_half_open() -> None:
    """A trial whose message was given up instead of sent once left its circuit half-open for good."""
    dock = Dock()
    dock.listed("north/1")
    for number in range(6):
        dock.mail(f"m{number}", "redeliverable", left=2.0)
        dock.turn()
        dock.end(min(dock.out), "served" if number < 4 else "reset", report=(1.0, 0.0))
    dock.after(3.0)
    dock.mail("next", "redeliverable")
    dock.after(0.1)
    assert dock.same_as("trial")


def test_a_full_connection_table_is_no_outage() -> None:
    """Failed connects beside served calls once opened the circuit of a working route and left it cold."""
    dock = Dock()
    dock.listed("north/1")
    for number in range(9):
        dock.mail(f"m{number}", "redeliverable")
        dock.after(0.05)
    for _ in range(4):
        dock.end(min(dock.out), "served", report=(1.0, 0.0))
        dock.after(0.05)
        dock.end(max(dock.out), "no connection")
        dock.after(0.05)
    assert dock.same_as("table")


def test_nothing_new_to_draining_routes_and_late_messages_end_in_time() -> None:
    dock = Dock()
    dock.mail("early", "redeliverable", left=1.0)
    dock.turn()
    dock.listed("north/1", "north/2")
    dock.listed("north/1", state="draining")
    dock.mail("next", "redeliverable")
    dock.after(0.05)
    dock.listed("north/2", state="removed")
    dock.end("early", "reset")
    dock.after(1.0)
    assert dock.same_as("drain")


def test_the_least_important_message_is_deferred_before_clients_are_refused() -> None:
    dock = Dock(room=5)
    for number in range(4):
        dock.mail(f"m{number}", ("redeliverable", "once-only")[number % 2])
        dock.now += 0.1
        dock.turn()
    assert dock.same_as("room")


def test_the_list_is_fetched_at_start_and_after_failures() -> None:
    dock = Dock(must_fetch_list=True)
    dock.turn()
    for _ in range(3):
        dock.control.list_failed(dock.now)
        dock.turn()
    dock.control.timer_expired(dock.now, "ask")
    dock.turn()
    assert dock.same_as("list")


def test_with_many_instances_each_calls_at_once_and_earns_calls_after_a_refusal() -> None:
    """Even fractions of a hundred instances once held first messages for a minute; refused ones were retried
    too soon."""
    dock = Dock(instances=100)
    dock.listed("north/1", rate=5.0)
    dock.mail("m0", "redeliverable")
    dock.turn()
    dock.end("m0", "full", report=(0.0, 5.0))
    for number in range(1, 5):
        dock.mail(f"m{number}", "redeliverable")
        dock.after(0.5)
    assert dock.same_as("earned")


def test_with_many_instances_trials_are_rare_and_recovery_is_slow() -> None:
    """Trials of many instances alone once overloaded a receiver that was back and cold; so did backlogs."""
    dock = Dock(instances=100)
    dock.listed("north/1", rate=5.0)
    for number in range(12):
        dock.mail(f"m{number}", "redeliverable", left=60.0)
        dock.after(2.0)
        for name in sorted(dock.out):
            dock.end(name, "reset" if dock.now < 115 else "served", report=(1.0, 0.0))
    assert dock.same_as("crowd")


def test_idle_connections_close_sooner_where_connects_fail() -> None:
    """Idle connections of hundreds of instances once filled receivers' tables. Kept for a tenth of a
    second, each message paid a handshake also where there was room."""
    dock = Dock(instances=10)
    dock.listed("north/1", "south/1", *(f"west/{place}" for place in range(8)), rate=1000.0)
    for number, ending in enumerate(("served", "no connection", "no connection", "no connection")):
        dock.mail(f"m{number}", "redeliverable", "south" if number else "north")
        dock.after(0.5)
        dock.end(f"m{number}", ending)
    dock.after(4.0)
    assert dock.same_as("hang-up")


def test_a_tagged_message_that_may_have_run_is_retried_only_in_its_zone() -> None:
    """It was once bounced instead; in another zone a repeat would have a second effect."""
    dock = Dock()
    dock.listed("north/1", zone="a")
    dock.mail("m", "one-zone")
    dock.turn()
    dock.listed("north/2", "north/3", zone="b")
    dock.end("m", "reset")
    dock.after(0.5)
    dock.end("m", "full")  # it may still run from its first attempt
    dock.after(0.5)
    dock.end("m", "reset")
    dock.listed("north/1", state="removed")  # the only routes left are in another zone
    dock.after(6.0)  # its tag expires while nothing can be sent
    assert dock.same_as("one-zone")


def test_routes_without_a_zone_are_one_zone_of_their_own() -> None:
    """An empty name was once taken for none: the message went on to another zone, though it may have run."""
    dock = Dock()
    dock.listed("north/1", zone="")
    dock.mail("m", "one-zone")
    dock.turn()
    dock.end("m", "reset")
    dock.listed("north/1", state="removed")
    dock.listed("north/2", zone="b")
    dock.after(6.5)
    assert not any("north/2" in line for line in dock.lines) and any(
        "m bounced" in line for line in dock.lines
    )


def test_a_tagged_message_that_never_ran_goes_to_any_zone() -> None:
    dock = Dock()
    dock.listed("north/1", zone="a")
    dock.mail("m", "one-zone")
    dock.turn()
    dock.listed("north/1", state="draining")
    dock.listed("north/2", zone="b")
    dock.end("m", "full")
    dock.after(0.1)
    assert dock.out["m"].route.zone == "b"


def test_a_hedged_attempt_stays_in_the_zone_of_the_first() -> None:
    dock = Dock(may_hedge=True, slots=20)
    for place in ("1", "2"):
        dock.listed(f"north/a{place}", zone="a")
        dock.listed(f"north/b{place}", zone="b")
    for number in range(20):
        name = f"m{number}"
        dock.mail(name, "one-zone", terms=interface.Terms(1.0, 4, 1.0, 2, 0.1))
        dock.after(0.2)
        dock.end(name, "served")
    sent: dict[str, list[str]] = {}  # the zones of each first attempt and of its hedge
    for line in dock.lines:
        if " to north/" in line:
            sent.setdefault(line.split()[2], []).append(line.split()[4][6])
    assert sum(len(zones) == 2 for zones in sent.values()) > 5
    assert all(len(set(zones)) == 1 for zones in sent.values())


def test_timeouts_and_windows_set_by_operators_replace_learned_ones() -> None:
    dock = Dock(slots=20)
    dock.listed("north/1", "south/1")
    dock.routes["north/1"].timeouts = {SORTS["once-only"]: 1.5, SORTS["redeliverable"]: 4.5}
    dock.routes["south/1"].window, dock.destinations["south"].window = 2, 3
    dock.mail("p1", "once-only")
    dock.turn()
    dock.end("p1", "served")
    dock.mail("n1", "redeliverable")
    for number in range(8):
        dock.mail(f"s{number}", "redeliverable", "south")
        dock.turn()
        if number < 4:
            dock.end(f"s{number}", "served")
    dock.after(4.4)  # n1 is not overdue: its timeout was set
    assert sum(name.startswith("s") for name in dock.out) == 2 and "n1" in dock.out
    assert dock.same_as("terms")


def test_messages_keep_the_attempts_the_wait_and_the_importance_set_for_them() -> None:
    dock = Dock()
    dock.listed("north/1", "north/2")
    few = interface.Terms(1.0, 1, 0.5, 1, 1.0)
    dock.mail("m1", "redeliverable", terms=few)
    dock.turn()
    dock.end("m1", "error")
    dock.turn()
    dock.mail("plain", "redeliverable")
    dock.mail("dear", "redeliverable", terms=interface.Terms(9.0, 4, 3.0, 1, 1.0), to="south")
    dock.listed("south/1")
    dock.turn()
    assert dock.same_as("terms-of-mails")


def test_a_hedged_attempt_goes_over_another_route_and_the_slower_one_is_cancelled() -> None:
    """Only where hedging is allowed, never for messages that may not run twice or keep an order."""
    hedge = interface.Terms(1.0, 4, 3.0, 2, 0.5)
    dock = Dock(may_hedge=True, slots=20)
    dock.listed("north/1", "north/2")
    for name, sort in (("m1", "redeliverable"), ("c1", "once-only"), ("o1", "in-order")):
        dock.mail(name, sort, key="k" if sort == "in-order" else None, terms=hedge)
        dock.turn()
        dock.end(name, "served")  # the window grows
    for name, sort in (("m2", "redeliverable"), ("c2", "once-only"), ("o2", "in-order")):
        dock.mail(name, sort, key="k" if sort == "in-order" else None, terms=hedge)
    dock.turn()
    first = dock.out["m2"]
    dock.after(0.6)
    assert dock.out["m2"] is not first and dock.out["m2"].route is not first.route
    dock.end("m2", "served")
    dock.turn()
    assert dock.same_as("copies")


def test_a_hedged_attempt_that_fails_leaves_the_first_in_flight_and_both_failing_retries() -> None:
    dock = Dock(may_hedge=True, slots=20)
    dock.listed("north/1", "north/2")
    dock.mail("m1", "redeliverable")
    dock.turn()
    dock.end("m1", "served")
    dock.mail("m2", "redeliverable", terms=interface.Terms(1.0, 4, 3.0, 2, 0.5))
    dock.turn()
    first = dock.out["m2"]
    dock.after(0.6)
    dock.end("m2", "error")
    dock.turn()
    assert "m2" not in dock.out
    dock.out["m2"] = first
    dock.end("m2", "error")
    dock.turn()
    assert "m2" in dock.out and dock.same_as("copies-failing")


def test_a_hedged_attempt_in_flight_when_the_tag_expires_is_waited_for_and_nothing_more_goes() -> None:
    """The tag is remembered from the first attempt on; a third one after that would have a second effect."""
    dock = Dock(may_hedge=True, slots=20)
    dock.listed("north/1", "north/2", "north/3")
    dock.mail("m1", "tagged")
    dock.turn()
    dock.end("m1", "served")
    dock.mail("m2", "tagged", terms=interface.Terms(1.0, 4, 3.0, 2, 5.5))
    dock.turn()
    first = dock.out["m2"]
    dock.after(5.6)
    copy = dock.out["m2"]
    assert copy is not first
    dock.out["m2"] = first
    dock.end("m2", "error")  # not retried: the hedged attempt may still run
    dock.out["m2"] = copy
    dock.after(1.0)
    dock.end("m2", "error")  # the six seconds of the tag are over
    dock.after(3.0)
    assert dock.same_as("copies-window")


def test_an_attempt_being_opened_may_still_go_to_a_draining_route_within_the_grace() -> None:
    for grace, may in ((0.0, False), (0.5, True)):
        dock = Dock(drain_grace=grace)
        dock.listed("north/1")
        dock.mail("m1", "redeliverable")
        dock.turn()
        attempt = dock.out["m1"]
        assert dock.control.may_start(dock.now, attempt)
        dock.listed("north/1", state="draining")
        assert dock.control.may_start(dock.now + 0.4, attempt) is may
        assert not dock.control.may_start(dock.now + 0.6, attempt)


def test_finished_messages_leave_the_heap_of_expiries() -> None:
    """Guards against entries that stay until the lifetime ends: memory grew with the load."""
    dock = Dock(slots=20)
    dock.listed("north/1")
    for number in range(600):
        dock.mail(f"m{number}", "redeliverable")
        dock.turn()
        dock.end(f"m{number}", "served", report=(1.0, 0.0))
    assert len(dock.control.expiries) <= 64 + 2 and not dock.control.pending_count


def test_a_route_of_unknown_rate_starts_as_the_equal_of_one_that_advertised_its_own() -> None:
    """It was once drawn for one of forty messages, beside a route that advertised a limit of forty."""
    dock = Dock(slots=40)
    dock.listed("north/1", "north/2", rate=0.0)
    drawn: list[str] = []
    for number in range(40):
        dock.mail(f"m{number}", "redeliverable")
        dock.turn()
        drawn.append(dock.out[f"m{number}"].route.name)
        report = (1.0, 40.0) if drawn[-1] == "north/1" else None
        dock.end(f"m{number}", "served", report=report)
        dock.now += 0.1
    assert 12 <= drawn.count("north/2") <= 28


def test_a_hedged_attempt_counts_as_an_attempt() -> None:
    """Guards against a message on its last attempt that gets one more by hedging."""
    dock = Dock(may_hedge=True, slots=20)
    dock.listed("north/1", "north/2")
    for number in range(6):  # the window grows, and is halved by the error below
        dock.mail(f"m{number}", "redeliverable")
        dock.turn()
        dock.end(f"m{number}", "served")
        dock.now += 0.1
    dock.mail("m", "redeliverable", terms=interface.Terms(1.0, 2, 3.0, 2, 0.2))
    dock.turn()
    dock.end("m", "error")
    dock.turn()
    assert dock.control.destination_state_of(dock.destinations["north"]).window >= 2
    last = dock.out["m"]
    dock.after(0.8)
    assert dock.out["m"] is last


def test_with_many_instances_a_full_connection_table_does_not_lower_the_rate() -> None:
    """Forty instances that cut their rates to two fifths at every such failure once left a limit unused."""
    dock = Dock(instances=40)
    dock.listed("north/1", rate=60.0)
    sent: list[str] = []
    for number in range(60):
        name = f"m{number}"
        dock.mail(name, "redeliverable", left=9.0)
        dock.after(0.5)
        for each in sorted(dock.out):
            full = len(sent) % 4 == 3
            sent.append("x" if full else ".")
            dock.end(each, "no connection" if full else "served", report=(0.9, 60.0))
    assert len(sent) > 40, "".join(sent)  # 22 before


def test_a_list_update_of_one_destination_walks_the_routes_of_no_other() -> None:
    dock = Dock(instances=9)
    dock.listed(*(f"north/{place}" for place in range(3)), "south/1")
    south = dock.routes["south/1"].policy_state.destination
    south.routes = None  # anything that counts or walks them fails
    dock.listed("north/1", state="draining")
    assert dock.routes["north/1"].policy_state.drained_at == dock.now
    dock.listed("north/3", "east/1")
    dock.listed("north/0", "north/0", state="removed")
    dock.listed("north/1")  # back
    assert dock.control.routes_up == 5  # north 1, 2 and 3, south, east


def test_a_full_list_removes_what_it_does_not_name() -> None:
    dock = Dock(instances=9)
    dock.listed("north/1", "north/2", "south/1")
    dock.routes["north/2"].listed_state = dock.routes["south/1"].listed_state = interface.ListedState.REMOVED
    dock.control.list_updated(dock.now, [dock.routes["north/1"]], True)
    assert dock.control.routes_up == 1
    assert [len(destination.routes) for destination in dock.control.destination_states.values()] == [1, 0]
    assert dock.routes["south/1"].policy_state.drained_at == dock.now
