"""Messages of the control protocol, and their conversion to and from protobuf.

Sent messages are truncated to the limits below. Received messages are checked
against them: too large or malformed messages are rejected and malformed member
records skipped before they can reach any state.
"""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Iterable, Sequence
from typing import Any, TypeVar

from anvillug import ids
from anvillug.connection import _control_pb2 as wire
from anvillug.process import membership
from anvillug.request import quarantine
from anvillug.version import verdict_set

MAX_MESSAGE_BYTES = 4_194_304
MAX_MEMBERS = 2_000  # about 220 KB; a new node in a mesh of 6,300 nodes needs four full pulls
MAX_VERDICTS = 256
MAX_CRASH_IDS = 8
MAX_QUARANTINE_ENTRIES = 256
MAX_EVIDENCE_SUMMARIES = 64
MAX_EVIDENCE_SUMMARY_BYTES = 16_384
MAX_CONFIG_BYTES = 3_145_728
MAX_TEXT_LENGTH = 512
"""Max characters of a text field, and max encoded bytes of a member record."""

ItemT = TypeVar('ItemT')

_STATES = tuple(membership.MemberState)
_STATE_NUMBERS = {state: number for number, state in enumerate(_STATES)}


class MalformedError(ValueError):
    """A peer sent a malformed or too large message."""


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """State updates that each side of an exchange sends to the other."""

    sender: ids.HostId
    """Host id of the sender."""
    incarnation: ids.Incarnation
    """Incarnation of the sender."""
    config_number: ids.ConfigNumber
    """Configuration number in effect on the sender."""
    digest: int
    """Digest of the sender's member table."""
    members: tuple[membership.Member, ...] = ()
    """Member records that changed or were pulled."""
    verdicts: tuple[verdict_set.VerdictNotice, ...] = ()
    """Notices of bad versions."""
    quarantine: tuple[quarantine.QuarantineEntry, ...] = ()
    """Quarantined fingerprints."""
    evidence: tuple[bytes, ...] = ()
    """Serialized evidence summaries."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Request of an exchange."""

    news: News
    """State updates of the caller."""
    wants_config: bool = False
    """Whether the caller requests the configuration state, which is sent if it is newer."""
    bucket_digests: tuple[int, ...] | None = None
    """If set, requests a full pull: the members of all buckets whose digest differs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Reply of an exchange."""

    news: News
    """State updates of the called node."""
    config_state: bytes | None = None
    """Configuration state as JSON."""
    pull_incomplete: bool = False
    """Whether the reply omits pulled members because of its size limit."""


def request_to_wire(request: Request) -> wire.ExchangeRequest:
    """Encode a request, truncated to the limits."""
    pull = None
    if request.bucket_digests is not None:
        pull = wire.FullPull(bucket_digests=request.bucket_digests)
    return wire.ExchangeRequest(
        news=_news_to_wire(request.news), wants_config=request.wants_config, full_pull=pull
    )


def request_from_wire(message: wire.ExchangeRequest) -> Request:
    """Decode a request.

    Raises:
        MalformedError: If it exceeds a limit, has no sender or a wrong number of digests.
    """
    digests = None
    if message.HasField('full_pull'):
        digests = tuple(message.full_pull.bucket_digests)
        if len(digests) != membership.BUCKET_COUNT:
            raise MalformedError(f'full pull has {len(digests)} bucket digests')
    return Request(_news_from_wire(message.news), message.wants_config, digests)


def reply_to_wire(reply: Reply) -> wire.ExchangeReply:
    """Encode a reply, truncated to the limits."""
    state = reply.config_state or b''
    if len(state) > MAX_CONFIG_BYTES:
        state = b''
    return wire.ExchangeReply(
        news=_news_to_wire(reply.news), config_state=state, pull_incomplete=reply.pull_incomplete
    )


def reply_from_wire(message: wire.ExchangeReply) -> Reply:
    """Decode a reply.

    Raises:
        MalformedError: If it exceeds a limit or has no sender.
    """
    if len(message.config_state) > MAX_CONFIG_BYTES:
        raise MalformedError(f'configuration state has {len(message.config_state)} bytes')
    news = _news_from_wire(message.news)
    return Reply(news, message.config_state or None, message.pull_incomplete)


def member_to_wire(member: membership.Member) -> wire.Member:
    """Encode a member record."""
    return wire.Member(
        host_id=member.host_id,
        zone=member.zone,
        region=member.region,
        incarnation=member.incarnation,
        sequence=member.sequence,
        service=member.service,
        version=member.version,
        peer_address=member.peer_address,
        control_address=member.control_address,
        state=_STATE_NUMBERS[member.state],
    )


def member_from_wire(message: wire.Member) -> membership.Member:
    """Decode a member record.

    Raises:
        MalformedError: If the state is unknown, the host id missing or the record too large.
    """
    if message.state >= len(_STATES):
        raise MalformedError(f'member {message.host_id!r} has unknown state {message.state}')
    if not message.host_id or message.ByteSize() > MAX_TEXT_LENGTH:
        raise MalformedError(
            f'member record has no host id or is too large: {message.ByteSize()} bytes'
        )
    return membership.Member(
        host_id=ids.HostId(message.host_id),
        zone=ids.ZoneName(message.zone),
        region=ids.RegionName(message.region),
        incarnation=ids.Incarnation(message.incarnation),
        sequence=message.sequence,
        service=ids.ServiceName(message.service),
        version=ids.VersionName(message.version),
        peer_address=message.peer_address,
        control_address=message.control_address,
        state=_STATES[message.state],
    )


def _news_to_wire(news: News) -> wire.News:
    evidence = [entry for entry in news.evidence if len(entry) <= MAX_EVIDENCE_SUMMARY_BYTES]
    return wire.News(
        sender=wire.Sender(host_id=news.sender, incarnation=news.incarnation),
        config_number=news.config_number,
        digest=news.digest,
        members=[member_to_wire(member) for member in news.members[:MAX_MEMBERS]],
        verdicts=[_verdict_to_wire(entry) for entry in news.verdicts[:MAX_VERDICTS]],
        quarantine=[
            _quarantine_to_wire(entry) for entry in news.quarantine[:MAX_QUARANTINE_ENTRIES]
        ],
        evidence=evidence[:MAX_EVIDENCE_SUMMARIES],
    )


def _news_from_wire(message: wire.News) -> News:
    if not message.sender.host_id or len(message.sender.host_id) > MAX_TEXT_LENGTH:
        raise MalformedError('sender of the message is missing or too long')
    _check_limits(message)
    return News(
        sender=ids.HostId(message.sender.host_id),
        incarnation=ids.Incarnation(message.sender.incarnation),
        config_number=ids.ConfigNumber(message.config_number),
        digest=message.digest,
        members=_parse_members(message.members),
        verdicts=tuple(_verdict_from_wire(entry) for entry in message.verdicts),
        quarantine=tuple(_quarantine_from_wire(entry) for entry in message.quarantine),
        evidence=tuple(message.evidence),
    )


def _check_limits(message: wire.News) -> None:
    _check_count('members', message.members, MAX_MEMBERS)
    _check_count('verdicts', message.verdicts, MAX_VERDICTS)
    _check_count('quarantine entries', message.quarantine, MAX_QUARANTINE_ENTRIES)
    _check_count('evidence summaries', message.evidence, MAX_EVIDENCE_SUMMARIES)
    if any(len(entry) > MAX_EVIDENCE_SUMMARY_BYTES for entry in message.evidence):
        raise MalformedError('evidence summary in the message is too large')


def _check_count(name: str, entries: Sequence[Any], limit: int) -> None:
    if len(entries) > limit:
        raise MalformedError(f'message has {len(entries)} {name}, more than {limit}')


def _parse_members(messages: Iterable[wire.Member]) -> tuple[membership.Member, ...]:
    """Decode members; skip malformed records, so that the valid ones still propagate."""
    members = []
    for message in messages:
        with contextlib.suppress(MalformedError):
            members.append(member_from_wire(message))
    return tuple(members)


def _verdict_to_wire(notice: verdict_set.VerdictNotice) -> wire.Verdict:
    return wire.Verdict(
        service=notice.service,
        version=notice.version,
        move=notice.move,
        evidence=notice.evidence[:MAX_TEXT_LENGTH],
    )


def _verdict_from_wire(message: wire.Verdict) -> verdict_set.VerdictNotice:
    return verdict_set.VerdictNotice(
        service=ids.ServiceName(message.service[:MAX_TEXT_LENGTH]),
        version=ids.VersionName(message.version[:MAX_TEXT_LENGTH]),
        move=message.move,
        evidence=message.evidence[:MAX_TEXT_LENGTH],
    )


def _quarantine_to_wire(entry: quarantine.QuarantineEntry) -> wire.QuarantineEntry:
    return wire.QuarantineEntry(
        fingerprint=entry.fingerprint,
        crash_ids=entry.crash_ids,
        quarantine_ms=max(0, round(entry.quarantine_ms)),
        suspect_ms=max(0, round(entry.suspect_ms)),
    )


def _quarantine_from_wire(message: wire.QuarantineEntry) -> quarantine.QuarantineEntry:
    return quarantine.QuarantineEntry(
        fingerprint=ids.Fingerprint(message.fingerprint[:MAX_TEXT_LENGTH]),
        crash_ids=tuple(
            crash_id[:MAX_TEXT_LENGTH] for crash_id in message.crash_ids[:MAX_CRASH_IDS]
        ),
        quarantine_ms=message.quarantine_ms,
        suspect_ms=message.suspect_ms,
    )
