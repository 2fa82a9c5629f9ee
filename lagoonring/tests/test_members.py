"""The known instances of a deployment, and the hub of each data centre."""

from __future__ import annotations

import random

from lagoonring.serving.members import FORGET_S, Card, Members, Rank

CENTRES = ("east", "west", "north")


def make_card(number, *, capacity=None):
    return Card(
        address=f"10.0.{number // 250}.{number % 250}:7500",
        data_centre=CENTRES[number % len(CENTRES)],
        capacity=float(number % 7) if capacity is None else capacity,
    )


def find_hub(members, data_centre):
    """Return the hub as defined, computed from all members."""
    known = [m for m in members.known.values() if m.card.data_centre == data_centre]
    trusted = [m for m in known if not m.is_suspected]
    best = max(trusted, key=lambda m: m.rank, default=None)
    if data_centre != members.me.data_centre:
        best = best or max(known, key=lambda m: m.rank, default=None)
        return best.card if best else None
    own_rank = Rank(members.me.capacity, members.me.address)
    return best.card if best and best.rank > own_rank else members.me


def change_at_random(members, rng, now_s):
    number = rng.randrange(60)
    card = make_card(number, capacity=float(rng.randrange(7)))
    if rng.random() < 0.1:
        card = Card(card.address, rng.choice(CENTRES), card.capacity)
    action = rng.choice(
        ("record_message", "record_listed", "suspect", "trust", "forget")
    )
    if action == "record_message":
        members.record_message(card, now_s)
    elif action == "record_listed":
        members.record_listed(card, now_s)
    elif action == "suspect":
        members.suspect(card.address)
    elif action == "trust":
        members.trust(card.address, now_s)
    else:
        members.forget(now_s)


def test_hubs_follow_every_change_of_the_members():
    for seed in range(20):
        rng = random.Random(seed)
        members = Members(make_card(0, capacity=3.0))
        now_s = 0.0
        for _ in range(300):
            now_s += rng.random() * FORGET_S / 40
            change_at_random(members, rng, now_s)
            for name in CENTRES:
                assert members.hub(name) == find_hub(members, name)
            assert {m.card.address for m in members.local()} == {
                m.card.address
                for m in members.known.values()
                if m.card.data_centre == members.me.data_centre
            }
        members.retire()
        assert members.hub(members.me.data_centre) == find_hub(
            members, members.me.data_centre
        )


def test_the_hub_of_230_instances_is_found_without_ranking_them_again(monkeypatch):
    """A hub receives a hundred messages a second, each of which asks for the hub."""
    members = Members(make_card(0))
    for number in range(1, 230):
        members.record_message(make_card(number), 1.0)
    n_ranked = 0
    find = members._find_hub

    def count(data_centre):
        nonlocal n_ranked
        n_ranked += 1
        return find(data_centre)

    monkeypatch.setattr(members, "_find_hub", count)
    for round_ in range(10):
        for number in range(1, 230):
            members.record_message(make_card(number), 2.0 + round_)
            members.is_hub()
            members.other_hubs()
    assert n_ranked == len(CENTRES)
