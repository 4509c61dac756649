"""Group formation from seeds, and hosts that restart or lose their disks."""

import itertools

import pytest

from crocuswell_core.cluster.commands import Proposal
from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.jobs.job_commands import PutCatalog
from crocuswell_core.runtime.events import CallReceived
from tests.group_harness import Group
from tests.job_harness import catalog

SEEDS = ("a", "b", "c")
# Time in which a returned host must become a voter again.
CATCH_UP_MS = 4_000


def formed_group(names: tuple[str, ...] = SEEDS) -> Group:
    group = Group(SEEDS)
    for name in names:
        group.start(name, founds=name == min(SEEDS))
        group.run(50)
    group.run(3_000)
    return group


def catalog_version(group: Group, name: str) -> int:
    held = group.hosts[name].state.cluster.jobs.catalog
    return held.version if held else 0


@pytest.mark.parametrize("names", list(itertools.permutations(SEEDS)))
def test_hosts_form_one_group_in_any_order(names) -> None:
    """Guards against two groups, or none, at the first start."""
    group = formed_group(names)
    assert group.voters() == {group.member(name) for name in SEEDS}


@pytest.mark.parametrize("after_ms", [0, 600, 1_000, 1_200, 1_400, 2_000])
def test_founder_that_is_killed_while_the_group_forms_founds_it(after_ms) -> None:
    """Guards against a group that never forms after a kill of its founder."""
    group = Group(SEEDS)
    for name in SEEDS:
        group.start(name, founds=name == min(SEEDS))
    group.run(after_ms)
    group.kill("a")
    group.run(500)
    group.start("a")
    group.run(6_000)
    assert group.voters() == {group.member(name) for name in SEEDS}


def test_surplus_hosts_with_disks_are_learners() -> None:
    """Guards against a majority that grows with every host that joins."""
    group = formed_group((*SEEDS, "d"))
    group.run(2_000)
    assert len(group.voters()) == 3
    assert len(group.leader().state.consensus.hosts) == 4


@pytest.mark.parametrize("name", SEEDS)
def test_host_with_an_empty_disk_rejoins_as_a_new_voter_in_time(name) -> None:
    """Guards against votes under a member id whose log was lost."""
    group = formed_group()
    group.propose(PutCatalog(catalog(3)))
    lost = group.member(name)
    group.kill(name, wipe=True)
    group.run(1_000)
    group.start(name)
    group.run(CATCH_UP_MS)
    assert lost not in group.voters()
    assert group.member(name) in group.voters()
    assert len(group.voters()) == 3
    assert catalog_version(group, name) == 3


def test_successor_at_another_address_becomes_a_voter_in_time() -> None:
    """Guards against a group that cannot tolerate a second lost host."""
    group = formed_group()
    group.propose(PutCatalog(catalog(3)))
    group.kill("b")
    group.run(1_000)
    group.observed.clear()
    group.start("z")
    group.run(CATCH_UP_MS)
    assert group.member("z") in group.voters()
    assert len(group.voters()) == 3
    (caught_up_s,) = group.observed["host_catch_up_seconds"]
    assert 0 < caught_up_s * 1_000 <= CATCH_UP_MS
    group.kill("c")
    group.run(3_000)
    group.propose(PutCatalog(catalog(5)))
    assert catalog_version(group, "z") == 5


def test_acknowledged_catalog_outlasts_a_disk_and_the_power_of_all() -> None:
    """Guards against losing an acknowledged catalog.

    One host loses its disk and all hosts restart; the majority that remains
    must hold the catalog.
    """
    for wiped in SEEDS:
        group = formed_group()
        group.propose(PutCatalog(catalog(9)))
        for name in SEEDS:
            group.kill(name, wipe=name == wiped)
        group.run(500)
        for name in SEEDS:
            group.start(name)
        group.run(CATCH_UP_MS)
        assert {catalog_version(group, name) for name in SEEDS} == {9}
        assert group.voters() == {group.member(name) for name in SEEDS}


@pytest.mark.parametrize("name", SEEDS)
def test_first_catalog_outlasts_the_disk_that_acknowledged_it(name) -> None:
    """Guards against what a single voter acknowledges (review case 12)."""
    group = Group(SEEDS)
    for each in SEEDS:
        group.start(each, founds=each == min(SEEDS))
    call = CommandCall(Proposal("", "", PutCatalog(catalog())))
    for call_id in range(1, 100):
        group.run(50)
        group.post(group.hosts[name], CallReceived(call_id, call))
        if catalog_version(group, name):
            break
    group.kill(name, wipe=True)
    group.run(1_000)
    group.start(name)
    group.run(CATCH_UP_MS)
    assert {catalog_version(group, each) for each in SEEDS} == {1}


def test_first_catalog_does_not_wait_for_hosts_that_never_come() -> None:
    """Guards against an operator who is never answered."""
    group = formed_group(("a", "b"))
    group.run(2_000)
    group.propose(PutCatalog(catalog()))
    assert catalog_version(group, "a") == 1


class SmallLogGroup(Group):
    """A group whose logs hold little content."""

    snapshot_bytes = 10_000


def test_log_of_large_catalogs_is_bounded_by_its_size() -> None:
    """Guards against hosts that outgrow their memory before a restart.

    Their number of entries is far below that which makes a snapshot due.
    """
    group = SmallLogGroup(SEEDS)
    for name in SEEDS:
        group.start(name, founds=name == min(SEEDS))
    group.run(3_000)
    for version in range(1, 61):
        group.propose(PutCatalog(catalog(version, document="x" * 1_000)))
    for name in SEEDS:
        catalogs = [
            entry
            for entry in group.hosts[name].state.consensus.entries
            if isinstance(entry.proposal.command, PutCatalog)
        ]
        assert len(catalogs) <= 16
        stored = [
            entry
            for entry in group.disks[name].entries
            if isinstance(entry.proposal.command, PutCatalog)
        ]
        assert len(stored) <= 11
    group.kill("c")
    group.propose(PutCatalog(catalog(70, document="x" * 100_000)))
    for name in ("a", "b"):
        group.kill(name)
    for name in SEEDS:
        group.start(name)
    group.run(CATCH_UP_MS)
    assert {catalog_version(group, name) for name in SEEDS} == {70}


def test_restarted_hosts_remain_the_same_voters() -> None:
    """Guards against a restarted host that joins as a second member."""
    group = formed_group()
    before = group.voters()
    for name in SEEDS:
        group.kill(name)
        group.run(300)
        group.start(name)
        group.run(2_000)
    assert group.voters() == before


def test_host_that_was_removed_while_it_was_down_is_admitted_again() -> None:
    """Guards against a removed host that never joins the group again."""
    group = formed_group((*SEEDS, "d"))
    group.run(2_000)
    group.kill("d")
    group.run(62_000)
    assert len(group.leader().state.consensus.hosts) == 3
    group.start("d")
    group.run(6_000)
    assert group.member("d") in {h.id for h in group.leader().state.consensus.hosts}
