"""The codec: lost fields and malformed messages that reach the core."""

import enum
import inspect
import types
import typing

import attrs
import msgpack
import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from crocuswell_core.agent import agent_messages
from crocuswell_core.agent.agent_messages import (
    AgentHeartbeat,
    AgentMessage,
    EntryMessage,
)
from crocuswell_core.cluster import commands, configuration, records, resources
from crocuswell_core.cluster.cluster_state import ClusterState, WorkerAllocation
from crocuswell_core.cluster.commands import AdvanceTime, Command, LogEntry, Proposal
from crocuswell_core.cluster.records import AttemptId, AttemptPhase, JobSpec, WorkerMode
from crocuswell_core.cluster.resources import Resources
from crocuswell_core.consensus import peer_messages
from crocuswell_core.consensus.peer_messages import (
    AppendEntries,
    PeerMessage,
    TimeoutNow,
    VoteReply,
)
from crocuswell_core.entry import calls
from crocuswell_core.policy.policies import DefaultPolicy, Policy
from crocuswell_core.runtime.effects import Record
from crocuswell_daemon import tags, wire
from crocuswell_daemon.wire import CodecError

REPEATABLE = settings(derandomize=True, deadline=None, database=None)
ROOTS = (Command, Record, PeerMessage, AgentMessage, EntryMessage, ClusterState)

st.register_type_strategy(float, st.floats(allow_nan=False, allow_infinity=False))
st.register_type_strategy(str, st.text(max_size=8))
st.register_type_strategy(bytes, st.binary(max_size=8))

st.register_type_strategy(Policy, st.builds(DefaultPolicy))

MESSAGES = st.one_of([st.from_type(root) for root in ROOTS if root is not ClusterState])


def reachable_classes(hint: typing.Any, seen: set[type]) -> set[type]:
    if isinstance(hint, types.UnionType) or typing.get_origin(hint):
        for argument in typing.get_args(hint):
            reachable_classes(argument, seen)
    elif hint is Policy:
        reachable_classes(DefaultPolicy, seen)
    elif attrs.has(hint) and hint not in seen:
        seen.add(hint)
        for field in attrs.fields(hint):
            if field.init:
                reachable_classes(field.type, seen)
    return seen


def test_every_message_class_has_a_tag() -> None:
    """Guards against a new message or command that can't be sent."""
    reachable = set().union(*(reachable_classes(root, set()) for root in ROOTS))
    missing = {cls.__name__ for cls in reachable - set(tags.TAG_OF)}
    assert not missing


def test_classes_of_the_shared_modules_have_tags() -> None:
    """Guards against a class that is missing from its union."""
    for module in (commands, configuration, records, resources):
        for _, cls in inspect.getmembers(module, inspect.isclass):
            if attrs.has(cls) and cls.__module__ == module.__name__:
                assert cls in tags.TAG_OF, cls


def test_tags_of_released_classes_do_not_move() -> None:
    """Guards against logs that another version decodes as other classes."""
    assert tags.TAG_OF[Resources] == 0
    assert tags.TAG_OF[LogEntry] == 37
    assert tags.TAG_OF[peer_messages.VoteRequest] == 44
    assert tags.TAG_OF[agent_messages.Goodbye] == 69
    assert tags.TAG_OF[ClusterState] == 75


@pytest.mark.parametrize("cls", [cls for cls in tags.TAG_OF if cls is not ClusterState])
@given(st.data())
@settings(REPEATABLE, max_examples=25)
def test_decoding_restores_every_field(cls: type, data: st.DataObject) -> None:
    """Guards against a field that encoding loses or changes."""
    message = data.draw(st.from_type(cls))
    encoded = wire.encode(message)
    assert wire.decode(encoded) == message
    assert wire.decode(encoded, cls) == message


@given(st.binary(max_size=200))
@settings(REPEATABLE, max_examples=2_000)
def test_random_bytes_raise_only_codec_errors(data: bytes) -> None:
    """Guards against other exceptions caused by a malicious sender."""
    try:
        wire.decode(data)
    except CodecError:
        return


@given(MESSAGES, st.data())
@settings(REPEATABLE, max_examples=1_500)
def test_changed_bytes_give_a_valid_message_or_a_codec_error(
    message: typing.Any, data: st.DataObject
) -> None:
    """Guards against values of the wrong type that reach the core."""
    encoded = bytearray(wire.encode(message))
    for _ in range(data.draw(st.integers(1, 3))):
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position] = data.draw(st.integers(0, 255))
    check_decoded(bytes(encoded))


JUNK = st.sampled_from(
    [
        *(None, True, False, 0, 1, -1, 2**63, -(2**63), 0.0, 1.5),
        *(float("nan"), float("inf"), "", "active", b"", b"x"),
        *([], [0], [[]], [3, "r"], {}, {"a": 1}, {1: 2}),
        *[[tag, 1, 1, 1, 1, 1, 1] for tag in range(len(tags.TAGGED) + 1)],
        *[msgpack.ExtType(code, b"12345678") for code in (0, 1, 2, 127)],
        *[msgpack.ExtType(1, bytes(length)) for length in (0, 65)],
        msgpack.Timestamp(1, 1),
    ]
)


@given(MESSAGES, JUNK, st.data())
@settings(REPEATABLE, max_examples=1_500)
def test_a_replaced_part_gives_a_valid_message_or_a_codec_error(
    message: typing.Any, junk: typing.Any, data: st.DataObject
) -> None:
    """Guards against valid msgpack with values of the wrong type."""
    tree = msgpack.unpackb(
        wire.encode(message), unicode_errors="surrogatepass", ext_hook=msgpack.ExtType
    )
    parent, position = data.draw(st.sampled_from(list(iter_positions(tree))))
    parent[position] = junk
    check_decoded(msgpack.packb(tree, unicode_errors="surrogatepass"))


def iter_positions(
    tree: list[typing.Any],
) -> typing.Iterator[tuple[list[typing.Any], int]]:
    for position, item in enumerate(tree):
        yield tree, position
        if isinstance(item, list):
            yield from iter_positions(item)


@pytest.mark.parametrize("junk", [[], [0.0], ["a"], [-1], [True], None, 1, "a"])
def test_what_is_not_a_tagged_array_raises_a_codec_error(junk: object) -> None:
    """Guards against a first element that is not a valid tag."""
    with pytest.raises(CodecError):
        wire.decode(msgpack.packb(junk))


def check_decoded(data: bytes) -> None:
    try:
        decoded = wire.decode(data)
    except CodecError:
        return
    check_types(decoded, type(decoded))
    assert wire.decode(wire.encode(decoded)) == decoded


def check_types(value: typing.Any, hint: typing.Any) -> None:
    if isinstance(hint, types.UnionType):
        hint = next(h for h in typing.get_args(hint) if has_type(value, h))
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    assert has_type(value, hint)
    if origin in (tuple, list):
        for item in value:
            check_types(item, arguments[0])
    elif origin is dict:
        for key, item in value.items():
            check_types(key, arguments[0])
            check_types(item, arguments[1])
    elif attrs.has(type(value)):
        for field in attrs.fields(type(value)):
            if not field.init:
                continue
            check_types(getattr(value, field.name), field.type)


def has_type(value: typing.Any, hint: typing.Any) -> bool:
    return type(value) is (typing.get_origin(hint) or hint or types.NoneType)


@pytest.mark.parametrize(
    ("message", "position", "wrong"),
    [
        (TimeoutNow(3), 1, True),
        (TimeoutNow(3), 1, 3.0),
        (TimeoutNow(3), 1, None),
        (VoteReply(1, True, False), 2, 1),
        (commands.CancelRequests("w"), 1, b"w"),
        (commands.CancelRequests("w"), 2, "w"),
        (commands.SetWorkerMode("w", WorkerMode.ACTIVE), 2, "unheard of"),
        (AppendEntries(1, 0, 0, (), 0, 1), 4, [[0, 1, 2, 3]]),
        (configuration.Preset("p"), 2, float("nan")),
        (JobSpec(), 5, False),
    ],
)
def test_a_field_of_a_similar_type_is_refused(
    message: object, position: int, wrong: object
) -> None:
    """Guards against implicit conversions, such as `bool` to `int`."""
    fields = msgpack.unpackb(wire.encode(message))
    fields[position] = wrong
    with pytest.raises(CodecError):
        wire.decode(msgpack.packb(fields))


def test_a_message_of_another_kind_is_refused() -> None:
    """Guards against an agent that sends messages of entry hosts."""
    data = wire.encode(TimeoutNow(1))
    assert wire.decode(data, PeerMessage) == TimeoutNow(1)
    with pytest.raises(CodecError):
        wire.decode(data, AgentMessage)


def test_absent_trailing_fields_take_their_defaults() -> None:
    """Guards against a rolling upgrade that breaks old senders."""
    fields = msgpack.unpackb(wire.encode(AgentHeartbeat(7, 3)))
    assert wire.decode(msgpack.packb(fields[:3])) == AgentHeartbeat(7, 3)
    with pytest.raises(CodecError):
        wire.decode(msgpack.packb(fields[:2]))


def test_unknown_trailing_fields_are_ignored() -> None:
    """Guards against a rolling upgrade that breaks old receivers."""
    fields = msgpack.unpackb(wire.encode(AgentHeartbeat(7, 3)))
    assert wire.decode(msgpack.packb([*fields, "new"])) == AgentHeartbeat(7, 3)


def test_a_state_of_another_version_is_refused() -> None:
    """Guards against misinterpreting a snapshot of a newer version."""
    newer = ClusterState(version=ClusterState().version + 1)
    with pytest.raises(CodecError, match="version"):
        wire.decode_state(wire.encode(newer))


@given(st.data())
@settings(REPEATABLE, max_examples=20, suppress_health_check=list(HealthCheck))
def test_decoding_restores_every_table(data: st.DataObject) -> None:
    """Guards against a snapshot that loses a part of the state."""
    tables = {
        field.name: data.draw(st.from_type(field.type))
        for field in attrs.fields(ClusterState)
        if field.init and field.name not in ("version", "history")
    }
    state = ClusterState(**tables)
    assert wire.decode_state(wire.encode(state)) == state


def test_an_optional_enum_keeps_its_value() -> None:
    """Guards against a snapshot that can't be decoded.

    The decoder once rejected enum members in a field that may also be None.
    """
    for reason in (None, *records.StopReason):
        attempt = records.Attempt(
            AttemptId("r", 1), "w", (), AttemptPhase.STOPPING, 0, stop_reason=reason
        )
        assert wire.decode(wire.encode(attempt)) == attempt


def test_derived_fields_are_not_in_a_snapshot() -> None:
    """Guards against derived sums in a snapshot that contradict its tables."""
    state = ClusterState(policy=DefaultPolicy(max_reservations=7))
    plain = wire.encode(state)
    state.index = object()  # type: ignore[assignment]
    assert wire.encode(state) == plain
    decoded = wire.decode_state(plain)
    assert decoded.index is None
    assert decoded.policy == DefaultPolicy(max_reservations=7)


def test_a_new_state_can_be_saved() -> None:
    """Guards against a table whose class has no tag."""
    assert wire.decode_state(wire.encode(ClusterState())) == ClusterState()


def test_tables_keep_their_order_and_their_keys() -> None:
    """Guards against hosts whose states diverge after a snapshot."""
    state = ClusterState()
    state.queues["w"] = {"b": None, "a": None}
    state.allocations["x"] = WorkerAllocation(
        Resources(), 8, [3, 1], {AttemptId("r", 2): 1, AttemptId("a", 1): 2}
    )
    decoded = wire.decode_state(wire.encode(state))
    assert decoded == state
    assert list(decoded.queues["w"]) == ["b", "a"]
    assert list(decoded.allocations["x"].attempts) == list(
        state.allocations["x"].attempts
    )


@pytest.mark.parametrize("number", [2**64, -(2**63) - 1, 10**30, 2**63 + 2**62])
def test_numbers_beyond_64_bits_survive(number: int) -> None:
    """Guards against a caller whose integer halts every host."""
    spec = JobSpec(deadline_ms=number)
    assert wire.decode(wire.encode(spec)) == spec


def test_lone_surrogates_survive() -> None:
    """Guards against a caller whose text halts every host."""
    command = commands.CancelRequests("\ud800")
    assert wire.decode(wire.encode(command)) == command


@pytest.mark.parametrize(
    "value", [object(), {"a": 1}.keys(), JobSpec(payload=object())]
)
def test_values_without_a_tag_raise_codec_errors(value: object) -> None:
    """Guards against other exceptions from the codec."""
    with pytest.raises(CodecError):
        wire.encode(value)


def test_deep_nesting_raises_a_codec_error() -> None:
    """Guards against a message that exhausts the stack."""
    with pytest.raises(CodecError):
        wire.decode(b"\x91" * 100_000)


def test_a_forged_length_does_not_allocate() -> None:
    """Guards against a short message that claims 4 billion elements."""
    with pytest.raises(CodecError):
        wire.decode(b"\xdd\xff\xff\xff\xff")


def test_a_small_command_stays_small() -> None:
    """Guards against field names in messages.

    The control traffic of a node is limited to 4 KB/s.
    """
    entry = LogEntry(1, 1, 1, Proposal("", "", AdvanceTime()))
    assert len(wire.encode(entry)) < 20


def test_enum_values_are_text() -> None:
    """Guards against enum values that the codec can't encode."""
    for cls in (records, resources, agent_messages, calls, peer_messages):
        for _, item in inspect.getmembers(cls, inspect.isclass):
            if issubclass(item, enum.Enum):
                assert all(type(member.value) is str for member in item)
