"""Handover of a shard from one leader to the next."""

from asyncio import gather, sleep
from dataclasses import replace
from time import monotonic

from plantaincart_core.configuration import list_data_centres_out_of_service
from plantaincart_core.lease import ShardKey
from plantaincart_core.membership import PeerRegistry, choose_next_leader
from plantaincart_schema.codec import encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.mesh import (
    Acknowledgement,
    Handover,
    HandoverOffer,
    Vacancy,
)
from plantaincart_schema.generated.platform import ShardLease

from plantaincart_router.claim import Claim
from plantaincart_router.exception import (
    LeadershipLostError,
    MeshTimeoutError,
    PeerLostError,
)
from plantaincart_router.leadership import Leadership
from plantaincart_router.log import write_event
from plantaincart_router.mesh import Mesh
from plantaincart_router.shard import Shard

__all__ = ["Handovers"]

HANDOVER_TIMEOUT_S = 1.0
OFFER_TIMEOUT_S = 0.3
HANDOVER_DRAIN_S = 0.3
# Time for which the next leader counts a request in flight whose end isn't reported.
OCCUPATION_S = 10.0
DRAIN_POLL_S = 0.005
# With more stored records, the next leader reads them from the table.
MAX_STORED_RECORDS = 5_000
RETRY_S = 0.2


class Handovers:
    """
    Hand shards over to other instances and accept handovers from them.

    Parameters
    ----------
    leadership : Leadership
        The shards of this instance.
    mesh : Mesh
        Connections to the peers.
    peers : PeerRegistry
        Live peers.

    Notes
    -----
    A handover through the table has these steps: offer the shard to the target, stop
    dispatch, wait up to `HANDOVER_DRAIN_S` for requests in flight, write the target
    into the shard's row, and send it the records that the table lacks. If the outcome
    of the write is unknown, the shard stays suspended until a later write shows that
    the target isn't its leader.

    A leader that can't reach the table while a successor can releases its shard to
    that successor: the leader stops first, then the successor claims the shard.
    """

    def __init__(self, leadership: Leadership, mesh: Mesh, peers: PeerRegistry) -> None:
        self._leadership = leadership
        self._mesh = mesh
        self._peers = peers
        mesh.register_handler(HandoverOffer, self._answer_offer)
        mesh.register_handler(Handover, self._answer_handover)
        mesh.register_handler(Vacancy, self._handle_vacancy)

    async def _handle_vacancy(self, sender: str, vacancy: Vacancy) -> None:
        shard = self._leadership.shards.get(ShardKey(vacancy.service, vacancy.shard))
        if shard is not None and shard.row.epoch == vacancy.epoch + 1:
            shard.upstreams.remove_occupations(vacancy.upstream, vacancy.count)

    async def hand_over_all(self, deadline: float) -> None:
        """Hand over all shards, for a graceful shutdown."""
        while self._leadership.shards and monotonic() < deadline:
            keys = list(self._leadership.shards)
            await gather(*(self.hand_over(key) for key in keys))
            if self._leadership.shards:
                await sleep(RETRY_S)

    async def hand_over(self, key: ShardKey) -> bool:
        """
        Hand a shard over to another instance through the table.

        Parameters
        ----------
        key : ShardKey
            The shard.

        Returns
        -------
        bool
            Whether the table now names another instance as the leader.
        """
        shard = self._leadership.shards.get(key)
        target = self._choose_target(key)
        if shard is None or target is None:
            return False
        incarnation = await self._find_incarnation(target)
        if not incarnation or not await self._offer(key, target):
            return False
        shard.dispatcher.stop()
        await self._drain(shard)
        await shard.recorder.write_pending()
        epoch = shard.row.epoch
        shard.suspended = True
        await self._record_undispatched(shard)
        if not await self._write_leader(shard, target, incarnation):
            await self._resume(shard)
            return False
        message = self._build_handover(shard, epoch, written=True)
        self._leadership.stop_leading(key, f"handed over to {target}")
        await self._send_handover(target, message)
        return True

    async def relinquish_led(self) -> None:
        """Clear the leader of all shards led here, since no peer can reach this one."""
        for shard in list(self._leadership.shards.values()):
            await self._relinquish_led_shard(shard)
        await self.relinquish_named_not_led()

    async def _relinquish_led_shard(self, shard: Shard) -> None:
        shard.suspended = True
        await self._record_undispatched(shard)
        await shard.recorder.write_pending()
        if await self._write_leader(shard, "", ""):
            self._leadership.stop_leading(shard.key, "out of its peers' reach")
        else:
            await self._resume(shard)

    async def relinquish_named_not_led(self) -> None:
        """Clear the leader of rows that name this instance but that it doesn't lead."""
        for key in self._leadership.list_named_not_led():
            await self._leadership.relinquish(key)

    async def release(self, shard: Shard, target: str) -> None:
        """Release a shard to a successor that can reach the table."""
        if not shard.may_act(monotonic()) or not await self._offer(shard.key, target):
            return
        # During the offer, the shard may have been released to another successor.
        if shard.suspended or shard.closed:
            return
        shard.suspended = True
        await self._record_undispatched(shard)
        message = self._build_handover(shard, shard.row.epoch, written=False)
        self._leadership.stop_leading(shard.key, f"released to {target}")
        await self._send_handover(target, message)

    async def _offer(self, key: ShardKey, target: str) -> bool:
        """Ask whether a target accepts; its last heartbeat may predate its shutdown."""
        offer = HandoverOffer(service=key.service, shard=key.shard)
        try:
            answer = await self._mesh.request(
                target, offer, Acknowledgement, OFFER_TIMEOUT_S
            )
        except (PeerLostError, MeshTimeoutError, MalformedMessageError):
            return False
        return answer.accepted

    async def _answer_offer(self, sender: str, offer: HandoverOffer) -> Acknowledgement:
        if self._leadership.stopping:
            return Acknowledgement(accepted=False, reason="shutting down")
        # Reads anew: at the start of an outage the last read may still have succeeded.
        table_reachable = await self._leadership.watcher.read_once()
        return Acknowledgement(accepted=table_reachable)

    def _choose_target(self, key: ShardKey) -> str | None:
        configuration = self._leadership.context.configuration.current
        out_of_service = list_data_centres_out_of_service(configuration)
        live = self._peers.list_live(monotonic())
        return choose_next_leader(key, live, out_of_service)

    async def _find_incarnation(self, name: str) -> str:
        row = await self._leadership.read_lease(name)
        return row.incarnation if row is not None and not row.lost else ""

    async def _drain(self, shard: Shard) -> None:
        deadline = monotonic() + HANDOVER_DRAIN_S
        while True:
            await sleep(DRAIN_POLL_S)
            if not shard.upstreams.in_flight or monotonic() >= deadline:
                return

    async def _record_undispatched(self, shard: Shard) -> None:
        """
        Wait until requests that have not been dispatched are recorded as not run.

        Otherwise their intents would reach the next leader without an outcome.
        """
        shard.dispatcher.stop()
        shard.recorder.close()
        await sleep(DRAIN_POLL_S)

    async def _resume(self, shard: Shard) -> None:
        """Resume once a write of the row shows that the target isn't the leader."""
        while self._leadership.shards.get(shard.key) is shard:
            if await self._rewrite_row(shard):
                shard.suspended = False
                shard.recorder.reopen()
                shard.dispatcher.resume()
                return
            await sleep(RETRY_S)

    async def _rewrite_row(self, shard: Shard) -> bool:
        try:
            return await shard.row.write_to_table(lambda row: row)
        except LeadershipLostError as error:
            self._leadership.stop_leading(shard.key, str(error))
            return False

    async def _write_leader(self, shard: Shard, target: str, incarnation: str) -> bool:
        def change(row: ShardLease) -> ShardLease:
            return replace(
                row, leader=target, incarnation=incarnation, epoch=row.epoch + 1
            )

        try:
            return await shard.row.write_to_table(change)
        except LeadershipLostError as error:
            self._leadership.stop_leading(shard.key, str(error))
            return False

    def _build_handover(self, shard: Shard, epoch: int, *, written: bool) -> Handover:
        batches = list(shard.recorder.unflushed)
        records = shard.recorder.records
        unwritten = records.list_unwritten()
        if unwritten:
            batches.append(encode_json(records.build_batch(unwritten)))
        complete = shard.submissions.records_loaded.is_set()
        stored = records.list_written() if complete else []
        if len(stored) > MAX_STORED_RECORDS:
            complete, stored = False, []
        return Handover(
            service=shard.key.service,
            shard=shard.key.shard,
            epoch=epoch,
            occupations=shard.upstreams.list_occupations(OCCUPATION_S),
            warmth=shard.upstreams.list_warmth(),
            batches=batches,
            stored=[encode_json(records.build_batch(stored))] if stored else [],
            complete=complete,
            row=encode_json(shard.row.row),
            written=written,
        )

    async def _send_handover(self, target: str, message: Handover) -> bool:
        try:
            answer = await self._mesh.request(
                target, message, Acknowledgement, HANDOVER_TIMEOUT_S
            )
        except (PeerLostError, MeshTimeoutError, MalformedMessageError) as error:
            write_event("handover_unanswered", target=target, error=repr(error))
            return False
        write_event(
            "handover_answered",
            target=target,
            shard=f"{message.service}/{message.shard}",
            accepted=answer.accepted,
            reason=answer.reason,
        )
        return answer.accepted

    async def _answer_handover(self, sender: str, message: Handover) -> Acknowledgement:
        key = ShardKey(message.service, message.shard)
        if self._leadership.stopping:
            return Acknowledgement(accepted=False, reason="shutting down")
        await self._leadership.watcher.read_once()
        row, version = self._leadership.rows.find(key)
        if row is None:
            return Acknowledgement(accepted=False, reason="no such row")
        if message.written:
            return await self._accept_written(row, version, message)
        if (row.leader, row.epoch) != (sender, message.epoch):
            return Acknowledgement(accepted=False, reason="row has changed")
        ttl_s = self._leadership.context.settings.grant.ttl_s
        margin_s = self._leadership.context.settings.grant.margin_s
        claim = Claim(
            shard=key,
            row=row,
            version=version,
            earlier_grants_expire_at=monotonic() + ttl_s + margin_s,
            cause="release",
            handover=message,
        )
        task = self._leadership.start_claim(claim)
        if task is None:
            return Acknowledgement(accepted=False, reason="claim under way")
        await task
        return Acknowledgement(accepted=key in self._leadership.shards)

    async def _accept_written(
        self, row: ShardLease, version: int, message: Handover
    ) -> Acknowledgement:
        key = ShardKey(row.service, row.shard)
        if row.incarnation != self._leadership.keeper.incarnation:
            return Acknowledgement(accepted=False, reason="row names another leader")
        if self._leadership.is_claiming(key):
            return Acknowledgement(accepted=False, reason="claim under way")
        settings = self._leadership.context.settings.grant
        earlier_grants_expire_at = monotonic() + settings.ttl_s + settings.margin_s
        shard = await self._leadership.start_leading(
            row, version, earlier_grants_expire_at, "handover"
        )
        if shard is None:
            return Acknowledgement(accepted=False, reason="led already")
        shard.upstreams.apply_handover(message)
        await self._leadership.load_records(shard, message)
        return Acknowledgement(accepted=True)
