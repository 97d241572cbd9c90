import pytest
from plantaincart_core.membership import (
    Peer,
    PeerRegistry,
    choose_next_leader,
    choose_successors,
    count_excess_shards,
    rank_candidates,
)
from plantaincart_core.slot import ShardKey
from plantaincart_schema.generated.mesh import Heartbeat

SHARD = ShardKey("yard-desk", 3)


def make_peer(name: str, data_centre: str = "x", **fields) -> Peer:
    return Peer(
        name=name, incarnation="1", data_centre=data_centre, host="", port=1, **fields
    )


def make_heartbeat(name: str, incarnation: str = "1") -> Heartbeat:
    return Heartbeat(
        name=name,
        incarnation=incarnation,
        data_centre="x",
        host="127.0.0.1",
        port=1,
        clock=0,
        configuration_version=4,
        led_shards=2,
        leaving=True,
        table_reachable=False,
    )


def test_peers_are_live_while_heartbeats_come() -> None:
    registry = PeerRegistry(make_peer("own"), silent_after_s=1.0)
    assert registry.record_heartbeat(make_heartbeat("own"), 0.0) is False
    assert registry.record_heartbeat(make_heartbeat("b"), 0.0) is True
    assert registry.record_heartbeat(make_heartbeat("a"), 0.5) is True
    assert registry.record_heartbeat(make_heartbeat("b"), 0.6) is False
    assert [member.name for member in registry.list_live(1.0)] == ["a", "b"]
    assert [member.name for member in registry.list_live(1.55)] == ["b"]
    assert registry.record_heartbeat(make_heartbeat("b", "2"), 1.6) is True
    found = registry.find("b")
    assert found is not None and (found.led_shards, found.leaving) == (2, True)
    registry.remove("b")
    assert registry.find("b") is None and not registry.is_live("b", 1.6)


def test_successors_come_from_other_data_centres_first() -> None:
    leader = make_peer("l", "x")
    peers = [make_peer(f"{place}{n}", place) for place in "xyz" for n in range(3)]
    chosen = choose_successors(leader, [*peers, leader], 9)
    chosen_data_centres = [name[0] for name in chosen]
    assert sorted(chosen_data_centres[:2]) == ["y", "z"]
    assert (
        sorted(chosen_data_centres[2:6]) == ["y", "y", "z", "z"]
        and chosen_data_centres[6:] == ["x"] * 3
    )
    assert choose_successors(leader, reversed(peers), 2) == chosen[:2]
    fewer = [member for member in peers if member.name != chosen[8]]
    assert choose_successors(leader, fewer, 9) == chosen[:8]
    leaving = [
        make_peer(member.name, member.data_centre, leaving=True) for member in peers
    ]
    assert choose_successors(leader, leaving, 2) == []


def test_removing_a_candidate_keeps_the_order_of_the_others() -> None:
    names = [f"i{number}" for number in range(12)]
    ranked = rank_candidates(SHARD, names)
    assert sorted(ranked) == sorted(names)
    assert rank_candidates(SHARD, names[1:]) == [n for n in ranked if n != "i0"]
    firsts = {rank_candidates(ShardKey("s", n), names)[0] for n in range(100)}
    assert len(firsts) == 12


def test_handover_chooses_the_instance_with_fewest_shards() -> None:
    peers = [
        make_peer("a", "x", led_shards=0),
        make_peer("b", "y", led_shards=2),
        make_peer("c", "y", led_shards=1),
        make_peer("d", "y", led_shards=0, leaving=True),
    ]
    assert choose_next_leader(SHARD, peers, []) == "a"
    assert choose_next_leader(SHARD, peers, ["x"]) == "c"
    assert choose_next_leader(SHARD, peers, ["x", "y"]) is None
    equal = [make_peer(name, led_shards=1) for name in "efgh"]
    assert choose_next_leader(SHARD, equal, []) == rank_candidates(SHARD, "efgh")[0]


@pytest.mark.parametrize(
    ("own", "others", "excess"),
    [
        (0, [], 0),
        (9, [], 0),
        (2, [2, 2, 0], 0),
        (3, [2, 2, 0], 0),
        (4, [2, 2, 0], 2),
        (4, [1, 1, 1], 2),
        (2, [0] * 11, 0),
        (24, [0] * 11, 22),
    ],
)
def test_rebalance(own: int, others: list[int], excess: int) -> None:
    peers = [make_peer(f"p{n}", led_shards=count) for n, count in enumerate(others)]
    assert count_excess_shards(own, peers) == excess
    assert count_excess_shards(own, [*peers, make_peer("l", leaving=True)]) == excess
