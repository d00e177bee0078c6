"""State machine test: random histories of the log against an oracle."""

from __future__ import annotations

import json
from typing import Any, Final

import attrs
from gypsumrelay_configuration import (
    Accepted,
    Configuration,
    ConfigurationPublished,
    Contract,
    ContractPut,
    ContractRemoved,
    DrainSet,
    KeyGranted,
    KeyWithdrawn,
    Model,
    Record,
    SnapshotPart,
    State,
    apply,
    dump_state,
    is_ready,
    load_state,
    next_offset,
    note_oldest,
    record_from_json,
    record_to_json,
    reducer,
    replace,
    split_state,
)
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

READERS: Final = 3
READ_LIMIT: Final = 7
MEMORY: Final = 30
LIMIT: Final = 1024 + 500
KEPT_AT_LEAST: Final = 8
SETS_AT_ONCE: Final = 4
ACCOUNTS: Final = ('kiosk', 'office')

readers = st.integers(0, READERS - 1)
accounts = st.sampled_from(ACCOUNTS)
fates = st.sampled_from(('answered', 'answered', 'twice', 'late', 'stale'))


def dump(state: State) -> str:
    return json.dumps(dump_state(state), sort_keys=True)


@attrs.define
class Oracle:
    """Predicts verdicts from all changes, without expiring tombstones.

    Attributes:
        last_change: Offset of the last accepted change of each subject.
        removals: Offset of the last removal of each account's contract.
        contracts: Accounts that have a contract.
        used_keys: Key ids that were granted or withdrawn.
        valid_keys: Account of each key that is granted and not withdrawn.
    """

    last_change: dict[str, int] = attrs.field(factory=dict)
    removals: dict[str, int] = attrs.field(factory=dict)
    contracts: set[str] = attrs.field(factory=set)
    used_keys: set[str] = attrs.field(factory=set)
    valid_keys: dict[str, str] = attrs.field(factory=dict)

    def expect(self, offset: int, record: Record) -> bool:
        """Return whether a record must be accepted, and apply it if so."""
        late = offset - record.as_of > MEMORY
        if late and not isinstance(record, ConfigurationPublished):
            return False
        if isinstance(record, KeyGranted):
            return self.grant(record)
        if isinstance(record, KeyWithdrawn):
            self.used_keys.add(record.key_id)
            self.valid_keys.pop(record.key_id, None)
            return True
        return self.change(offset, record)

    def grant(self, record: KeyGranted) -> bool:
        """Accept a grant whose writer had read the last removal."""
        account = record.client_account
        known = self.removals.get(account, -1) <= record.as_of
        fresh = record.key_id not in self.used_keys
        if account not in self.contracts or not known or not fresh:
            return False
        self.used_keys.add(record.key_id)
        self.valid_keys[record.key_id] = account
        return True

    def change(self, offset: int, record: Record) -> bool:
        """Accept a change whose writer had read the subject's last change."""
        subject = self.subject(record)
        if self.last_change.get(subject, -1) > record.as_of:
            return False
        if isinstance(record, ContractRemoved):
            account = record.client_account
            if account not in self.contracts:
                return False
            self.contracts.discard(account)
            self.removals[account] = offset
            for key_id, owner in list(self.valid_keys.items()):
                if owner == account:
                    self.valid_keys.pop(key_id)
        if isinstance(record, ContractPut):
            self.contracts.add(record.contract.client_account)
        self.last_change[subject] = offset
        return True

    def subject(self, record: Record) -> str:
        """Return the name of the subject that a record changes."""
        if isinstance(record, ContractPut):
            return f'contract {record.contract.client_account}'
        if isinstance(record, ContractRemoved):
            return f'contract {record.client_account}'
        if isinstance(record, DrainSet):
            return f'drain {record.name}'
        return 'configuration'


class Histories(RuleBasedStateMachine):
    """Writers, readers and a log that drops its oldest records."""

    def __init__(self) -> None:
        """Start with an empty log and fresh readers."""
        super().__init__()
        self.log: list[Record] = []
        self.oldest = 0
        self.reference = State()
        self.history = {-1: dump(State())}
        self.oracle = Oracle()
        self.states = [State() for _ in range(READERS)]
        self.offsets = [-1 for _ in range(READERS)]
        self.in_flight: list[Record] = []
        self.paused: list[list[SnapshotPart]] = []
        self.accepted_bases: set[tuple[str, int, int]] = set()
        self.ids = 0
        reducer.MEMORY_RECORDS = MEMORY

    def teardown(self) -> None:
        """Give the reducer its memory back."""
        reducer.MEMORY_RECORDS = ORIGINAL_MEMORY

    @initialize()
    def begin(self) -> None:
        """Start with contracts and keys, so that most changes find one."""
        for account in ACCOUNTS:
            self.put(0, 'answered', account)
            self.grant(0, 'answered', account)

    # Writers base their change on what one reader has read.

    @rule(reader=readers, fate=fates, tokens=st.integers(1, 99))
    def publish(self, reader: int, fate: str, tokens: int) -> None:
        """Publish a configuration."""
        self.prepare(reader, fate)
        state = self.states[reader]
        document = Configuration((Model('m', tokens, 1),))
        self.send(
            reader,
            fate,
            ConfigurationPublished(
                self.new_id(),
                state.configuration.version,
                document,
            ),
        )

    @rule(reader=readers, fate=fates, account=accounts)
    def put(self, reader: int, fate: str, account: str) -> None:
        """Put a contract."""
        self.prepare(reader, fate)
        version = self.states[reader].contract_versions.get(account, 0)
        self.send(
            reader,
            fate,
            ContractPut(
                self.new_id(),
                version,
                Contract(account, 1 + self.ids, 1),
            ),
        )

    @rule(reader=readers, fate=fates, account=accounts)
    def remove(self, reader: int, fate: str, account: str) -> None:
        """Remove a contract."""
        self.prepare(reader, fate)
        version = self.states[reader].contract_versions.get(account, 0)
        self.send(
            reader,
            fate,
            ContractRemoved(
                self.new_id(),
                version,
                account,
            ),
        )

    @rule(reader=readers, fate=fates, account=accounts)
    def grant(self, reader: int, fate: str, account: str) -> None:
        """Grant a key."""
        self.prepare(reader, fate)
        key_id = f'key-{self.new_id()}'
        self.send(
            reader,
            fate,
            KeyGranted(
                self.new_id(),
                key_id,
                account,
                f'digest of {key_id}',
            ),
        )

    @rule(reader=readers, fate=fates, data=st.data())
    def withdraw(self, reader: int, fate: str, data: st.DataObject) -> None:
        """Withdraw a key, which may be unknown."""
        self.prepare(reader, fate)
        known = [
            record.key_id
            for record in (*self.log, *self.in_flight)
            if isinstance(record, KeyGranted)
        ]
        key_id = data.draw(st.sampled_from([*known, 'key-none']))
        self.send(reader, fate, KeyWithdrawn(self.new_id(), key_id))

    @rule(reader=readers, fate=fates, drained=st.booleans())
    def drain(self, reader: int, fate: str, drained: bool) -> None:
        """Drain a zone or undo it."""
        self.prepare(reader, fate)
        known = self.states[reader].drains.get('zone/one')
        version = known.version if known else 0
        self.send(
            reader,
            fate,
            DrainSet(
                self.new_id(),
                version,
                'zone',
                'one',
                drained,
            ),
        )

    def prepare(self, reader: int, fate: str) -> None:
        """Let a writer read to the end first, unless it is a stale one."""
        if fate in {'answered', 'twice'}:
            self.read_to_end(self.states[reader])

    def new_id(self) -> str:
        """Return an id that was never used."""
        self.ids += 1
        return str(self.ids)

    def send(self, reader: int, fate: str, record: Record) -> None:
        """Append a record now, later, or both."""
        stamped = attrs.evolve(record, as_of=self.states[reader].offset)
        if fate in {'late', 'twice'}:
            self.in_flight.append(stamped)
        if fate != 'late':
            self.append(stamped)

    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """Let a delayed append, or its second copy, arrive now."""
        if self.in_flight:
            index = data.draw(st.integers(0, len(self.in_flight) - 1))
            self.append(self.in_flight.pop(index))

    def append(self, record: Record) -> None:
        """Append a record and compare its verdict with the oracle."""
        raw = json.loads(json.dumps(record_to_json(record)))
        copied = record_from_json(raw)
        assert copied == record
        self.log.append(record)
        offset = self.oldest + len(self.log) - 1
        verdict = apply(self.reference, offset, record)
        self.history[offset] = dump(self.reference)
        if isinstance(record, SnapshotPart):
            return
        accepted = isinstance(verdict, Accepted)
        assert accepted == self.oracle.expect(offset, record), (record, verdict)
        self.check_reference(accepted, record)

    def check_reference(self, accepted: bool, record: Record) -> None:
        """Compare what is in force with the oracle."""
        state = self.reference
        valid = {key.key_id for key in state.keys.values() if not key.withdrawn}
        assert valid == set(self.oracle.valid_keys)
        assert set(state.contracts) == self.oracle.contracts
        if accepted and isinstance(record, ConfigurationPublished):
            assert state.configuration.version == record.based_on + 1
            assert state.configuration.models == record.configuration.models
            base = ('configuration', record.based_on, 0)
            assert base not in self.accepted_bases, 'two writers were accepted'
            self.accepted_bases.add(base)

    # Readers read on, restart, or take a peer's copy.

    @rule(reader=readers, count=st.integers(1, READ_LIMIT))
    def read(self, reader: int, count: int) -> None:
        """Let a reader read on."""
        self.read_batch(self.states[reader], count)

    def read_batch(self, state: State, count: int) -> int:
        """Let a state read up to a number of records."""
        note_oldest(state, self.oldest)
        begin = max(next_offset(state), self.oldest)
        index = begin - self.oldest
        found = self.log[index : index + count]
        for offset, record in enumerate(found, begin):
            apply(state, offset, record)
        return len(found)

    def read_to_end(self, state: State) -> None:
        """Let a state read everything, also again after a snapshot."""
        while self.read_batch(state, len(self.log) + 1):
            assert dump(state) == self.history[state.offset]

    @rule(reader=readers, back=st.integers(1, 10))
    def read_again(self, reader: int, back: int) -> None:
        """Give a reader records that it has applied already."""
        state = self.states[reader]
        begin = max(self.oldest, state.offset - back)
        for offset in range(begin, state.offset + 1):
            apply(state, offset, self.log[offset - self.oldest])

    @rule(reader=readers)
    def restart(self, reader: int) -> None:
        """Start a reader again without a state."""
        self.states[reader] = State()
        self.offsets[reader] = -1

    @rule(reader=readers, peer=readers)
    def copy_from_peer(self, reader: int, peer: int) -> None:
        """Let a reader take the state of another."""
        copied = load_state(json.loads(dump(self.states[peer])))
        before = self.states[reader].offset
        taken = replace(self.states[reader], copied)
        assert taken == (copied.offset > before)

    # Snapshots are written by readers, which may pause between parts.

    @rule(reader=readers)
    def start_snapshot(self, reader: int) -> None:
        """Split the state of a reader; its parts are written later."""
        if is_ready(self.states[reader]) and len(self.paused) < SETS_AT_ONCE:
            self.paused.append(split_state(self.states[reader], LIMIT))

    @rule(data=st.data(), count=st.integers(1, 5), again=st.booleans())
    def write_parts(
        self,
        data: st.DataObject,
        count: int,
        again: bool,
    ) -> None:
        """Append some parts of one snapshot, one of them twice."""
        if not self.paused:
            return
        writer = data.draw(st.integers(0, len(self.paused) - 1))
        parts = self.paused[writer]
        for part in parts[:count]:
            self.append(part)
        if again:
            self.append(parts[0])
        del parts[:count]
        if not parts:
            self.paused.pop(writer)

    @rule(count=st.integers(1, 6))
    def drop_oldest(self, count: int) -> None:
        """Let the log drop its oldest records."""
        dropped = min(count, max(0, len(self.log) - KEPT_AT_LEAST))
        del self.log[:dropped]
        self.oldest += dropped

    @invariant()
    def readers_agree(self) -> None:
        """Check that all readers at one offset have one state."""
        for reader, state in enumerate(self.states):
            assert dump(state) == self.history[state.offset], state.offset
            assert state.offset >= self.offsets[reader], 'an offset fell'
            self.offsets[reader] = state.offset

    @invariant()
    def a_fresh_reader_is_complete_or_not_ready(self) -> None:
        """Check what a reader that starts now would find."""
        state = State()
        self.read_to_end(state)
        end = self.oldest + len(self.log)
        if is_ready(state):
            assert state.offset == end - 1, (state.offset, end)
            assert dump(state) == dump(self.reference)
        else:
            # An older snapshot may have been taken; it does not cover all.
            assert state.offset < self.oldest - 1
            assert not self.complete_snapshot_is_kept()

    def complete_snapshot_is_kept(self) -> bool:
        """Return whether the log holds all that a fresh reader needs."""
        received: dict[str, int] = {}
        covering = []
        for record in self.log:
            if isinstance(record, SnapshotPart):
                known = received.get(record.snapshot_id, 0)
                received[record.snapshot_id] = known + (record.index == known)
                if received[record.snapshot_id] == record.count:
                    covering.append(record.covers >= self.oldest - 1)
        return any(covering) and len(received) <= SETS_AT_ONCE


ORIGINAL_MEMORY: Final[Any] = reducer.MEMORY_RECORDS
