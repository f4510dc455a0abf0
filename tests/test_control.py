"""Short traces of decisions, compared with the ones kept in `traces/`."""

from __future__ import annotations

from drivers import QUEUE_CLASSES, PolicyDriver

from laureldock import interface


def test_messages_spread_over_closed_circuits_by_the_routes_rates() -> None:
    driver = PolicyDriver(slots=40)
    driver.update_list("north/1", rate=300.0)
    driver.update_list("north/2", rate=100.0)
    for number in range(12):
        driver.accept(f"m{number}", "redeliverable")
        driver.turn()
        driver.end_attempt(f"m{number}", "served", rate_report=(1.0, 0.0))
        driver.now += 0.1
    assert driver.matches_trace("draw")


def test_while_slots_are_scarce_the_route_with_short_calls_gets_more() -> None:
    """Guards against even shares while a call to one route holds a slot as long as three others."""
    driver = PolicyDriver(slots=8)
    driver.update_list("north/1", "north/2", "south/1")
    drawn: list[str] = []

    def play(name: str, to: str = "north") -> None:
        driver.accept(name, "redeliverable", to)
        driver.turn()
        route = driver.attempts[name].route.name
        driver.now += 0.15 if route == "north/1" else 0.05
        driver.end_attempt(name, "served", rate_report=(1.0, 0.0))
        drawn.append(route[-1])

    for number in range(30):
        play(f"free{number}")
        play(f"south{number}", "south")
    for number in range(7):  # five and two of eight slots
        driver.accept(f"held{number}", "redeliverable", "south" if number < 5 else "north")
    driver.turn()
    free, drawn = drawn[::2], []
    for number in range(30):
        play(f"scarce{number}")
    driver.lines = [f"free:   {''.join(free)}", f"scarce: {''.join(drawn)}"]
    assert driver.matches_trace("thrift")


def test_calls_without_a_response_are_cancelled_while_all_slots_are_taken() -> None:
    """Guards against silent calls that hold slots for three times what nine in ten calls take, and longer."""
    driver = PolicyDriver(slots=2)
    driver.update_list("north/1", "south/1")
    driver.accept("paid", "once-only")
    driver.turn()
    for number in range(30):  # answered at once or never: one in six
        name = f"m{number}"
        driver.accept(name, "redeliverable", "south")
        driver.advance(0.1)
        if number % 6 == 5:
            for _ in range(70):
                called_off = [line for line in driver.lines if "called off" in line]
                if name in driver.attempts and any(name in line for line in called_off):
                    driver.end_attempt(name, "cancelled")
                    driver.withdraw(name)
                    break
                driver.advance(0.05)
        elif name in driver.attempts:
            driver.end_attempt(name, "served")
    driver.lines = [line for line in driver.lines if "called off" in line or "paid" in line]
    assert driver.matches_trace("give-way")


def test_a_once_only_call_without_a_response_is_cancelled_at_twice_its_limit() -> None:
    """Guards against a single overdue call that holds its slot for the lifetime of its message."""
    driver = PolicyDriver(slots=4)
    driver.update_list("north/1", "south/1", "east/1", "west/1")
    driver.accept("paid", "once-only")
    for number in range(80):
        names = {f"{to}{number}": to for to in ("south", "east", "west")}
        for name, to in names.items():
            driver.accept(name, "redeliverable", to)
        driver.advance(0.1)
        for name in names:
            driver.end_attempt(name, "served")
    driver.lines = [line for line in driver.lines if "paid" in line]
    assert driver.matches_trace("give-way-once")


def test_a_run_of_failures_opens_the_circuit_until_a_trial_is_served() -> None:
    driver = PolicyDriver()
    driver.update_list("north/1")
    for number in range(5):
        driver.accept(f"m{number}", "redeliverable")
    driver.turn()
    for _ in range(3):
        for name in sorted(driver.attempts):
            driver.end_attempt(name, "error")
        driver.advance(0.05)
    driver.advance(1.0)
    driver.end_attempt(min(driver.attempts), "served", rate_report=(1.0, 4.0))
    driver.advance(2.5)
    assert driver.matches_trace("failover")


def test_a_requested_wait_binds_also_beside_a_trial() -> None:
    """Guards against dropping a wait that a call requests while a trial is in flight beside it."""
    driver = PolicyDriver()
    driver.update_list("north/1")
    for number in range(3):
        driver.accept(f"m{number}", "redeliverable")
        driver.turn()
        if number == 0:
            driver.end_attempt("m0", "served", rate_report=(1.0, 0.0))
    driver.end_attempt("m1", "full", requested_wait=0.2)
    driver.advance(0.3)
    driver.end_attempt("m2", "full", requested_wait=1.0)
    driver.advance(0.2)
    driver.end_attempt(min(driver.attempts), "served", rate_report=(1.0, 0.0))
    driver.advance(1.0)
    assert driver.matches_trace("wait")


def test_retries_by_queue_class_and_result() -> None:
    lines: list[str] = []
    for sort in ("redeliverable", "tagged", "once-only"):
        for ending in ("full", "error", "time-out"):
            driver = PolicyDriver()
            driver.update_list("north/1", "north/2")
            name = f"{sort} {ending}"
            driver.accept(name, sort, lifetime=4.0)
            driver.turn()
            driver.end_attempt(name, ending, rate_report=(0.1, 100.0) if ending == "full" else None)
            driver.turn()
            lines += driver.lines
    driver.lines = lines
    assert driver.matches_trace("answers")


def test_messages_of_a_key_go_in_order_and_cool_down_after_a_timeout() -> None:
    """A message withdrawn out of order, and one whose attempt timed out, both leave the key in cooldown."""
    driver = PolicyDriver()
    driver.update_list("north/1", "north/2")
    for name in ("first", "second", "third"):
        driver.accept(name, "in-order", key="k")
    driver.turn()
    driver.withdraw("first")
    driver.withdraw("second")
    driver.advance(0.2)
    driver.end_attempt("first", "cancelled")
    driver.advance(0.4)
    driver.end_attempt("third", "served", rate_report=(1.0, 0.0))
    driver.turn()
    assert driver.matches_trace("order")


def test_the_end_of_a_cooldown_leaves_newer_messages_of_its_key_alone() -> None:
    """The end of a cooldown once dropped the key's newer messages, too: the next did not wait for them."""
    driver = PolicyDriver()
    driver.update_list("north/1", "north/2")
    for name in ("w1", "w2", "w3"):  # the window of the destination grows with each that is served
        driver.accept(name, "redeliverable")
        driver.turn()
        driver.end_attempt(name, "served")
    for name in ("first", "second"):
        driver.accept(name, "in-order", key="k")
    driver.turn()
    driver.end_attempt("first", "cancelled")
    driver.withdraw("first")  # the key rests, and is to be looked at when that is over
    driver.now += 0.31  # with no turn, as where all of this comes in at one look
    driver.withdraw("second")
    driver.accept("third", "in-order", key="k")
    driver.turn()
    driver.accept("fourth", "in-order", key="k")
    driver.turn()
    assert "third" in driver.attempts and "fourth" not in driver.attempts, driver.lines


def test_a_key_pending_in_a_peer_process_waits_and_what_is_taken_over_goes_first() -> None:
    """Guards against sending a key's next message here before the one that is pending in a peer process."""
    driver = PolicyDriver()
    driver.update_list("north/1")
    driver.policy.update_peer_load(
        driver.now, interface.PeerLoad(1, pending=1, first_accepted_at={"k": driver.now - 0.01})
    )
    driver.accept("here", "in-order", key="k")
    driver.advance(0.2)
    driver.record("the other process has ended; its mail of k is taken over")
    driver.policy.update_peer_load(driver.now, interface.PeerLoad())
    queue_class, destination = QUEUE_CLASSES["in-order"], driver.destinations["north"]
    there = interface.Message(queue_class, destination, queue_class.lifetime, None, "k", accepted_at=99.99)
    driver.messages["there"], driver.message_names[there] = there, "there"
    driver.policy.message_accepted(driver.now, there)
    driver.advance(0.2)
    driver.end_attempt("there", "served")
    driver.advance(0.1)
    assert driver.matches_trace("handover")


def test_a_limit_used_up_is_no_outage_and_messages_share_a_call() -> None:
    """Refusals above a limit once opened circuits and left routes cold for a quarter of the day."""
    driver = PolicyDriver()
    driver.update_list("north/1", rate=2.0, batch_size=5)
    for number in range(4):
        driver.accept(f"m{number}", "redeliverable")
    driver.turn()
    for name in sorted(driver.attempts):
        driver.end_attempt(name, "full", rate_report=(0.1, 2.0))
    driver.advance(2.1)
    for name in sorted(driver.attempts):
        driver.end_attempt(name, "served", rate_report=(0.9, 2.0))
    driver.turn()
    assert driver.matches_trace("limit")


def test_calls_above_a_limit_become_ever_rarer() -> None:
    """Instances that each retried as soon as a requested wait was over once kept a limit used up for good."""
    driver = PolicyDriver()
    driver.update_list("north/1", rate=3.0)
    driver.accept("m", "redeliverable")
    driver.turn()
    for _ in range(5):
        if "m" in driver.attempts:
            driver.end_attempt("m", "full", requested_wait=0.2, rate_report=(0.0, 3.0))
        driver.advance(2.0)
    assert driver.matches_trace("livelock")


def test_a_silent_route_does_not_block_its_destination() -> None:
    """Two once-only messages that hung once filled a shrunk window for their whole lifetime."""
    driver = PolicyDriver()
    driver.update_list("north/1", "north/2")
    for number in range(4):
        driver.accept(f"m{number}", "redeliverable")
        driver.turn()
        driver.end_attempt(f"m{number}", "served", rate_report=(1.0, 0.0))
    for number in range(4):
        driver.accept(f"hung{number}", "once-only")
    driver.advance(0.5)
    driver.accept("late", "redeliverable")
    driver.advance(0.9)
    driver.end_attempt("late", "served", rate_report=(1.0, 0.0))
    driver.advance(2.0)
    for name in ("hung0", "hung1"):
        driver.end_attempt(name, "cancelled")
    driver.advance(0.1)
    driver.accept("later", "redeliverable")
    driver.advance(0.1)
    assert driver.matches_trace("silence")


def test_once_only_messages_wait_for_a_steady_route() -> None:
    """A receiver that failed some of its calls once bounced every such message that met it."""
    driver = PolicyDriver()
    driver.update_list("north/1")
    for number in range(3):
        driver.accept(f"m{number}", "redeliverable")
    driver.turn()
    driver.end_attempt("m0", "error")
    driver.accept("charge", "once-only")
    for _ in range(3):
        driver.advance(0.1)
        if driver.attempts:
            driver.end_attempt(min(driver.attempts), "served", rate_report=(1.0, 0.0))
    driver.advance(1.0)
    assert driver.matches_trace("steady")


def test_a_message_too_late_for_its_trial_does_not_leave_the_circuit_half_open() -> None:
    """A trial whose message was given up instead of sent once left its circuit half-open for good."""
    driver = PolicyDriver()
    driver.update_list("north/1")
    for number in range(6):
        driver.accept(f"m{number}", "redeliverable", lifetime=2.0)
        driver.turn()
        driver.end_attempt(min(driver.attempts), "served" if number < 4 else "reset", rate_report=(1.0, 0.0))
    driver.advance(3.0)
    driver.accept("next", "redeliverable")
    driver.advance(0.1)
    assert driver.matches_trace("trial")


def test_a_full_connection_table_is_no_outage() -> None:
    """Failed connects beside served calls once opened the circuit of a working route and left it cold."""
    driver = PolicyDriver()
    driver.update_list("north/1")
    for number in range(9):
        driver.accept(f"m{number}", "redeliverable")
        driver.advance(0.05)
    for _ in range(4):
        driver.end_attempt(min(driver.attempts), "served", rate_report=(1.0, 0.0))
        driver.advance(0.05)
        driver.end_attempt(max(driver.attempts), "no connection")
        driver.advance(0.05)
    assert driver.matches_trace("table")


def test_nothing_new_to_draining_routes_and_late_messages_end_in_time() -> None:
    driver = PolicyDriver()
    driver.accept("early", "redeliverable", lifetime=1.0)
    driver.turn()
    driver.update_list("north/1", "north/2")
    driver.update_list("north/1", state="draining")
    driver.accept("next", "redeliverable")
    driver.advance(0.05)
    driver.update_list("north/2", state="removed")
    driver.end_attempt("early", "reset")
    driver.advance(1.0)
    assert driver.matches_trace("drain")


def test_the_least_important_message_is_deferred_before_clients_are_refused() -> None:
    driver = PolicyDriver(room=5)
    for number in range(4):
        driver.accept(f"m{number}", ("redeliverable", "once-only")[number % 2])
        driver.now += 0.1
        driver.turn()
    assert driver.matches_trace("room")


def test_the_list_is_fetched_at_start_and_after_failures() -> None:
    driver = PolicyDriver(must_fetch_list=True)
    driver.turn()
    for _ in range(3):
        driver.policy.list_failed(driver.now)
        driver.turn()
    driver.policy.timer_expired(driver.now, "ask")
    driver.turn()
    assert driver.matches_trace("list")


def test_with_many_instances_each_calls_at_once_and_earns_calls_after_a_refusal() -> None:
    """Even fractions of a hundred instances once held first messages for a minute; refused ones were retried
    too soon."""
    driver = PolicyDriver(instances=100)
    driver.update_list("north/1", rate=5.0)
    driver.accept("m0", "redeliverable")
    driver.turn()
    driver.end_attempt("m0", "full", rate_report=(0.0, 5.0))
    for number in range(1, 5):
        driver.accept(f"m{number}", "redeliverable")
        driver.advance(0.5)
    assert driver.matches_trace("earned")


def test_with_many_instances_trials_are_rare_and_recovery_is_slow() -> None:
    """Trials of many instances alone once overloaded a receiver that was back and cold; so did backlogs."""
    driver = PolicyDriver(instances=100)
    driver.update_list("north/1", rate=5.0)
    for number in range(12):
        driver.accept(f"m{number}", "redeliverable", lifetime=60.0)
        driver.advance(2.0)
        for name in sorted(driver.attempts):
            driver.end_attempt(name, "reset" if driver.now < 115 else "served", rate_report=(1.0, 0.0))
    assert driver.matches_trace("crowd")


def test_idle_connections_close_sooner_where_connects_fail() -> None:
    """Idle connections of hundreds of instances once filled receivers' tables. Kept for a tenth of a
    second, each message paid a handshake also where there was room."""
    driver = PolicyDriver(instances=10)
    driver.update_list("north/1", "south/1", *(f"west/{place}" for place in range(8)), rate=1000.0)
    for number, ending in enumerate(("served", "no connection", "no connection", "no connection")):
        driver.accept(f"m{number}", "redeliverable", "south" if number else "north")
        driver.advance(0.5)
        driver.end_attempt(f"m{number}", ending)
    driver.advance(4.0)
    assert driver.matches_trace("hang-up")


def test_a_tagged_message_that_may_have_run_is_retried_only_in_its_zone() -> None:
    """It was once bounced instead; in another zone a repeat would have a second effect."""
    driver = PolicyDriver()
    driver.update_list("north/1", zone="a")
    driver.accept("m", "one-zone")
    driver.turn()
    driver.update_list("north/2", "north/3", zone="b")
    driver.end_attempt("m", "reset")
    driver.advance(0.5)
    driver.end_attempt("m", "full")  # it may still run from its first attempt
    driver.advance(0.5)
    driver.end_attempt("m", "reset")
    driver.update_list("north/1", state="removed")  # the only routes left are in another zone
    driver.advance(6.0)  # its tag expires while nothing can be sent
    assert driver.matches_trace("one-zone")


def test_routes_without_a_zone_are_one_zone_of_their_own() -> None:
    """An empty name was once taken for none: the message went on to another zone, though it may have run."""
    driver = PolicyDriver()
    driver.update_list("north/1", zone="")
    driver.accept("m", "one-zone")
    driver.turn()
    driver.end_attempt("m", "reset")
    driver.update_list("north/1", state="removed")
    driver.update_list("north/2", zone="b")
    driver.advance(6.5)
    assert not any("north/2" in line for line in driver.lines) and any(
        "m bounced" in line for line in driver.lines
    )


def test_a_tagged_message_that_never_ran_goes_to_any_zone() -> None:
    driver = PolicyDriver()
    driver.update_list("north/1", zone="a")
    driver.accept("m", "one-zone")
    driver.turn()
    driver.update_list("north/1", state="draining")
    driver.update_list("north/2", zone="b")
    driver.end_attempt("m", "full")
    driver.advance(0.1)
    assert driver.attempts["m"].route.zone == "b"


def test_a_hedged_attempt_stays_in_the_zone_of_the_first() -> None:
    driver = PolicyDriver(may_hedge=True, slots=20)
    for place in ("1", "2"):
        driver.update_list(f"north/a{place}", zone="a")
        driver.update_list(f"north/b{place}", zone="b")
    for number in range(20):
        name = f"m{number}"
        driver.accept(name, "one-zone", terms=interface.Terms(1.0, 4, 1.0, 2, 0.1))
        driver.advance(0.2)
        driver.end_attempt(name, "served")
    sent: dict[str, list[str]] = {}  # the zones of each first attempt and of its hedge
    for line in driver.lines:
        if " to north/" in line:
            sent.setdefault(line.split()[2], []).append(line.split()[4][6])
    assert sum(len(zones) == 2 for zones in sent.values()) > 5
    assert all(len(set(zones)) == 1 for zones in sent.values())


def test_timeouts_and_windows_set_by_operators_replace_learned_ones() -> None:
    driver = PolicyDriver(slots=20)
    driver.update_list("north/1", "south/1")
    driver.routes["north/1"].timeouts = {"once-only": 1.5, "redeliverable": 4.5}
    driver.routes["south/1"].window, driver.destinations["south"].window = 2, 3
    driver.accept("p1", "once-only")
    driver.turn()
    driver.end_attempt("p1", "served")
    driver.accept("n1", "redeliverable")
    for number in range(8):
        driver.accept(f"s{number}", "redeliverable", "south")
        driver.turn()
        if number < 4:
            driver.end_attempt(f"s{number}", "served")
    driver.advance(4.4)  # n1 is not overdue: its timeout was set
    assert sum(name.startswith("s") for name in driver.attempts) == 2 and "n1" in driver.attempts
    assert driver.matches_trace("terms")


def test_messages_keep_the_attempts_the_wait_and_the_importance_set_for_them() -> None:
    driver = PolicyDriver()
    driver.update_list("north/1", "north/2")
    few = interface.Terms(1.0, 1, 0.5, 1, 1.0)
    driver.accept("m1", "redeliverable", terms=few)
    driver.turn()
    driver.end_attempt("m1", "error")
    driver.turn()
    driver.accept("plain", "redeliverable")
    driver.accept(
        "dear", "redeliverable", terms=interface.Terms(9.0, 4, 3.0, 1, 1.0), destination_name="south"
    )
    driver.update_list("south/1")
    driver.turn()
    assert driver.matches_trace("terms-of-mails")


def test_a_hedged_attempt_goes_over_another_route_and_the_slower_one_is_cancelled() -> None:
    """Only where hedging is allowed, never for messages that may not run twice or keep an order."""
    hedge = interface.Terms(1.0, 4, 3.0, 2, 0.5)
    driver = PolicyDriver(may_hedge=True, slots=20)
    driver.update_list("north/1", "north/2")
    for name, sort in (("m1", "redeliverable"), ("c1", "once-only"), ("o1", "in-order")):
        driver.accept(name, sort, key="k" if sort == "in-order" else None, terms=hedge)
        driver.turn()
        driver.end_attempt(name, "served")  # the window grows
    for name, sort in (("m2", "redeliverable"), ("c2", "once-only"), ("o2", "in-order")):
        driver.accept(name, sort, key="k" if sort == "in-order" else None, terms=hedge)
    driver.turn()
    first = driver.attempts["m2"]
    driver.advance(0.6)
    assert driver.attempts["m2"] is not first and driver.attempts["m2"].route is not first.route
    driver.end_attempt("m2", "served")
    driver.turn()
    assert driver.matches_trace("copies")


def test_a_hedged_attempt_that_fails_leaves_the_first_in_flight_and_both_failing_retries() -> None:
    driver = PolicyDriver(may_hedge=True, slots=20)
    driver.update_list("north/1", "north/2")
    driver.accept("m1", "redeliverable")
    driver.turn()
    driver.end_attempt("m1", "served")
    driver.accept("m2", "redeliverable", terms=interface.Terms(1.0, 4, 3.0, 2, 0.5))
    driver.turn()
    first = driver.attempts["m2"]
    driver.advance(0.6)
    driver.end_attempt("m2", "error")
    driver.turn()
    assert "m2" not in driver.attempts
    driver.attempts["m2"] = first
    driver.end_attempt("m2", "error")
    driver.turn()
    assert "m2" in driver.attempts and driver.matches_trace("copies-failing")


def test_a_hedged_attempt_in_flight_when_the_tag_expires_is_waited_for_and_nothing_more_goes() -> None:
    """The tag is remembered from the first attempt on; a third one after that would have a second effect."""
    driver = PolicyDriver(may_hedge=True, slots=20)
    driver.update_list("north/1", "north/2", "north/3")
    driver.accept("m1", "tagged")
    driver.turn()
    driver.end_attempt("m1", "served")
    driver.accept("m2", "tagged", terms=interface.Terms(1.0, 4, 3.0, 2, 5.5))
    driver.turn()
    first = driver.attempts["m2"]
    driver.advance(5.6)
    copy = driver.attempts["m2"]
    assert copy is not first
    driver.attempts["m2"] = first
    driver.end_attempt("m2", "error")  # not retried: the hedged attempt may still run
    driver.attempts["m2"] = copy
    driver.advance(1.0)
    driver.end_attempt("m2", "error")  # the six seconds of the tag are over
    driver.advance(3.0)
    assert driver.matches_trace("copies-window")


def test_an_attempt_being_opened_may_still_go_to_a_draining_route_within_the_grace() -> None:
    for grace, may in ((0.0, False), (0.5, True)):
        driver = PolicyDriver(drain_grace=grace)
        driver.update_list("north/1")
        driver.accept("m1", "redeliverable")
        driver.turn()
        attempt = driver.attempts["m1"]
        assert driver.policy.may_start(driver.now, attempt)
        driver.update_list("north/1", state="draining")
        assert driver.policy.may_start(driver.now + 0.4, attempt) is may
        assert not driver.policy.may_start(driver.now + 0.6, attempt)


def test_finished_messages_leave_the_heap_of_expiries() -> None:
    """Guards against entries that stay until the lifetime ends: memory grew with the load."""
    driver = PolicyDriver(slots=20)
    driver.update_list("north/1")
    for number in range(600):
        driver.accept(f"m{number}", "redeliverable")
        driver.turn()
        driver.end_attempt(f"m{number}", "served", rate_report=(1.0, 0.0))
    assert len(driver.policy.expiries) <= 64 + 2 and not driver.policy.pending_count


def test_a_route_of_unknown_rate_starts_as_the_equal_of_one_that_advertised_its_own() -> None:
    """It was once drawn for one of forty messages, beside a route that advertised a limit of forty."""
    driver = PolicyDriver(slots=40)
    driver.update_list("north/1", "north/2", rate=0.0)
    drawn: list[str] = []
    for number in range(40):
        driver.accept(f"m{number}", "redeliverable")
        driver.turn()
        drawn.append(driver.attempts[f"m{number}"].route.name)
        report = (1.0, 40.0) if drawn[-1] == "north/1" else None
        driver.end_attempt(f"m{number}", "served", rate_report=report)
        driver.now += 0.1
    assert 12 <= drawn.count("north/2") <= 28


def test_a_hedged_attempt_counts_as_an_attempt() -> None:
    """Guards against a message on its last attempt that gets one more by hedging."""
    driver = PolicyDriver(may_hedge=True, slots=20)
    driver.update_list("north/1", "north/2")
    for number in range(6):  # the window grows, and is halved by the error below
        driver.accept(f"m{number}", "redeliverable")
        driver.turn()
        driver.end_attempt(f"m{number}", "served")
        driver.now += 0.1
    driver.accept("m", "redeliverable", terms=interface.Terms(1.0, 2, 3.0, 2, 0.2))
    driver.turn()
    driver.end_attempt("m", "error")
    driver.turn()
    assert driver.policy.destination_state_of(driver.destinations["north"]).window >= 2
    last = driver.attempts["m"]
    driver.advance(0.8)
    assert driver.attempts["m"] is last


def test_with_many_instances_a_full_connection_table_does_not_lower_the_rate() -> None:
    """Forty instances that cut their rates to two fifths at every such failure once left a limit unused."""
    driver = PolicyDriver(instances=40)
    driver.update_list("north/1", rate=60.0)
    sent: list[str] = []
    for number in range(60):
        name = f"m{number}"
        driver.accept(name, "redeliverable", lifetime=9.0)
        driver.advance(0.5)
        for each in sorted(driver.attempts):
            full = len(sent) % 4 == 3
            sent.append("x" if full else ".")
            driver.end_attempt(each, "no connection" if full else "served", rate_report=(0.9, 60.0))
    assert len(sent) > 40, "".join(sent)  # 22 before


def test_a_list_update_of_one_destination_walks_the_routes_of_no_other() -> None:
    driver = PolicyDriver(instances=9)
    driver.update_list(*(f"north/{place}" for place in range(3)), "south/1")
    south = driver.routes["south/1"].policy_state.destination
    south.routes = None  # anything that counts or walks them fails
    driver.update_list("north/1", state="draining")
    assert driver.routes["north/1"].policy_state.drained_at == driver.now
    driver.update_list("north/3", "east/1")
    driver.update_list("north/0", "north/0", state="removed")
    driver.update_list("north/1")  # back
    assert driver.policy.routes_up == 5  # north 1, 2 and 3, south, east


def test_a_full_list_removes_what_it_does_not_name() -> None:
    driver = PolicyDriver(instances=9)
    driver.update_list("north/1", "north/2", "south/1")
    driver.routes["north/2"].listed_state = driver.routes["south/1"].listed_state = (
        interface.ListedState.REMOVED
    )
    driver.policy.list_updated(driver.now, [driver.routes["north/1"]], True)
    assert driver.policy.routes_up == 1
    assert [len(destination.routes) for destination in driver.policy.destination_states.values()] == [1, 0]
    assert driver.routes["south/1"].policy_state.drained_at == driver.now
