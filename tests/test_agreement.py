"""The agreement protocol on single hosts, message by message."""

import random
from collections import deque

import pytest

from crocuswell_core import election, replication
from crocuswell_core.commands import AdvanceTime, EntryHost, Proposal
from crocuswell_core.effects import (
    EntriesRecord,
    Persist,
    SendPeer,
    TermRecord,
)
from crocuswell_core.events import (
    ClockAdvanced,
    EntriesSynced,
    EntryBooted,
    PeerMessageReceived,
    TimerFired,
)
from crocuswell_core.messages import Append, AppendReply, VoteReply, VoteRequest
from crocuswell_core.reducer import reduce
from crocuswell_core.state import EntryConfig, EntryState, Role
from crocuswell_core.timers import ElectionTimer, LeaderTimer

HOSTS = tuple(EntryHost(id_, f"{id_}:1", f"domain-{id_}") for id_ in "abc")
COMMAND = Proposal("command", "digest", AdvanceTime())


class Group:
    """Entry hosts with immediate disks and a network that can be cut."""

    def __init__(self):
        self.now_ms = 0
        self.cut = set()
        self.states = {}
        for host in HOSTS:
            cfg = EntryConfig(host, HOSTS, ("a", "b", "c"))
            self.states[host.id] = EntryState(cfg, random.Random(host.id))
            self.event(host.id, EntryBooted())

    def event(self, id_, *events):
        queue = deque((id_, event) for event in events)
        while queue:
            target, event = queue.popleft()
            reduce(self.states[target], ClockAdvanced(self.now_ms, self.now_ms))
            _, effects = reduce(self.states[target], event)
            for effect in effects:
                match effect:
                    case Persist(EntriesRecord(entries)):
                        synced = EntriesSynced(entries[-1].index, entries[-1].term)
                        queue.append((target, synced))
                    case SendPeer(to, message) if not {to, target} & self.cut:
                        queue.append((to, PeerMessageReceived(target, message)))

    def elect(self, id_):
        self.now_ms += 1_300
        self.event(id_, TimerFired(ElectionTimer()))


def test_group_elects_a_leader_and_commits_everywhere():
    """Guards against an election or a commit that never completes."""
    group = Group()
    group.elect("a")
    leader = group.states["a"]
    assert leader.consensus.role is Role.LEADER
    assert election.holds_lease(leader)
    replication.propose(group.states["b"], COMMAND)
    group.event("a", PeerMessageReceived("b", replication.Forward(COMMAND)))
    assert [s.consensus.applied_index for s in group.states.values()] == [2, 2, 2]
    assert leader.consensus.commit_index == 2


def test_forward_reaches_the_leader():
    """Guards against proposals of followers that are lost or kept."""
    group = Group()
    group.elect("a")
    effects = replication.propose(group.states["b"], COMMAND)
    assert effects == [SendPeer("a", replication.Forward(COMMAND))]
    assert replication.propose(EntryState(group.states["b"].cfg, None), COMMAND) == []


def test_paused_leader_steps_down_before_it_acts():
    """Guards against a leader that answers after its lease ended."""
    group = Group()
    group.elect("a")
    leader = group.states["a"]
    group.now_ms += 500
    reduce(leader, ClockAdvanced(group.now_ms, group.now_ms))
    assert leader.consensus.role is Role.FOLLOWER
    assert not election.holds_lease(leader)
    assert replication.propose(leader, COMMAND) == []


@pytest.mark.parametrize("pre_vote", [True, False])
def test_no_vote_within_the_minimum_timeout_of_hearing_a_leader(pre_vote):
    """Guards against a host that was cut off and unseats a healthy leader."""
    group = Group()
    group.elect("a")
    voter = group.states["b"]
    request = VoteRequest(9, 99, 9, pre_vote)
    _, effects = reduce(voter, PeerMessageReceived("c", request))
    assert effects == [SendPeer("c", VoteReply(1, False, pre_vote))]
    assert voter.consensus.term == 1


def test_vote_is_persisted_after_the_term_and_before_the_reply():
    """Guards against a voter that forgets its vote in a restart."""
    group = Group()
    group.now_ms = 700
    voter = group.states["b"]
    reduce(voter, ClockAdvanced(700, 700))
    _, effects = reduce(voter, PeerMessageReceived("c", VoteRequest(1, 0, 0, False)))
    records = [e for e in effects if isinstance(e, Persist | SendPeer)]
    assert records == [
        Persist(TermRecord(1, None)),
        Persist(TermRecord(1, "c")),
        SendPeer("c", VoteReply(1, True, False)),
    ]


def test_leader_does_not_count_its_own_unsynced_entry():
    """Guards against a commit that a crash of the leader undoes."""
    group = Group()
    group.elect("a")
    leader = group.states["a"]
    group.cut = {"c"}
    replication.propose(leader, COMMAND)
    reply = AppendReply(1, True, 2, leader.consensus.round)
    reduce(leader, PeerMessageReceived("b", reply))
    assert leader.consensus.commit_index == 1
    reduce(leader, EntriesSynced(2, 0))
    assert leader.consensus.commit_index == 1
    reduce(leader, EntriesSynced(2, 1))
    assert leader.consensus.commit_index == 2


def test_lease_runs_from_the_sending_of_the_acknowledged_round():
    """Guards against a lease that outlives the voters' refusal to vote."""
    group = Group()
    group.elect("a")
    leader = group.states["a"]
    _, effects = reduce(leader, TimerFired(LeaderTimer()))
    sent_ms = leader.now_ms
    round_ = next(e for e in effects if isinstance(e, SendPeer)).message.round
    reduce(leader, ClockAdvanced(sent_ms + 300, sent_ms + 300))
    reduce(leader, PeerMessageReceived("b", AppendReply(1, True, 1, round_)))
    assert leader.consensus.lease_until_ms == sent_ms + 500


def test_transfer_moves_leadership_at_once():
    """Guards against a planned stop that costs an election timeout."""
    group = Group()
    group.elect("a")
    effects = election.transfer_leadership(group.states["a"])
    assert not election.holds_lease(group.states["a"])
    sent = next(e for e in effects if isinstance(e, SendPeer))
    group.event(sent.to, PeerMessageReceived("a", sent.message))
    assert group.states[sent.to].consensus.role is Role.LEADER
    assert group.states[sent.to].consensus.term == 2


def test_heartbeat_of_an_idle_leader_carries_no_entries():
    """Guards against heartbeats that walk over the log."""
    group = Group()
    group.elect("a")
    _, effects = reduce(group.states["a"], TimerFired(LeaderTimer()))
    sent = [e.message for e in effects if isinstance(e, SendPeer)]
    assert sent and all(isinstance(m, Append) and m.entries == () for m in sent)
