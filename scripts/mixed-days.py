#!/usr/bin/env python3
"""Writes load test days that mix planned work with one kind of trouble: mixed-days.py SEED COUNT DIRECTORY

Each day has a series of changes of the configuration, reloads, stops and releases, close together and overlapping,
beside one of the troubles below. The same seed gives the same files, which are written in the form of deploy/days.
"""
import pathlib
import random
import sys

# Seconds of a day in which planned work and troubles begin.
FIRST, LAST = 2.0, 28.0

CHANGES = ["route", "weights", "timeout", "tenant", "quota", "quota down", "topup", "idle"]


def crashing(rng):
    how = rng.choice(["deadly", "deadly part"])
    return [{"kind": "poison", "how": how, "class": "@c0", "share": rng.choice([0.03, 0.1, 0.3]), "for_s": 20.0}]


def limits(rng):
    return [{"kind": "srv_slow", "how": "capped", "share": rng.choice([0.3, 0.6, 1.0]), "x": 0.2, "for_s": 12.0}]


def silence(rng):
    return [
        {"kind": "srv_slow", "how": "all", "share": rng.choice([0.4, 0.8, 1.0]), "x": 80.0, "for_s": 1.0}
        for _ in range(3)
    ]


def failing_servers(rng):
    how = rng.choice(["errors", "shed", "busy", "hang", "reset", "mute"])
    return [{"kind": "srv_grey", "share": 0.2, "x": 0.4, "how": how, "for_s": 5.0} for _ in range(2)]


def cut_servers(rng):
    how = rng.choice(["some", "some lossy", "reborn", "reset"])
    return [{"kind": "srv_cut", "share": 0.2, "how": how, "x": 0.3, "for_s": 4.0} for _ in range(2)]


def late_answers(rng):
    how = rng.choice(["extra late", "unframed", "early"])
    garble = {"kind": "garble", "share": 0.5, "x": 0.03, "how": how, "for_s": 6.0}
    return [garble, {"kind": "answer_lost", "how": "reset", "share": 0.5, "x": 0.05, "for_s": 4.0}]


def frozen_instances(rng):
    clock = {"kind": "clock_step", "share": 0.3, "x": 2000.0, "how": rng.choice(["back", "ahead"]), "for_s": 5.0}
    return [{"kind": "node_freeze", "share": 0.2, "for_s": 3.0}, clock]


def store_trouble(rng):
    return [
        rng.choice(
            [
                {"kind": "platform_down", "how": "nodes busy", "share": 0.35, "for_s": 5.0},
                {"kind": "platform_down", "how": "silent", "for_s": 4.0},
                {"kind": "platform_lost", "x": 0.35, "how": "late", "for_s": 4.5},
                {"kind": "platform_slow", "x": 60.0, "for_s": 4.5},
                {"kind": "core_cut", "for_s": 4.0, "how": "leader race"},
            ]
        )
        for _ in range(2)
    ]


def none(_):
    return []


TROUBLES = [
    crashing,
    limits,
    silence,
    failing_servers,
    cut_servers,
    late_answers,
    frozen_instances,
    store_trouble,
    none,
]


def planned_work(rng):
    work = [{"kind": "config_change", "how": rng.choice(CHANGES)} for _ in range(rng.randint(6, 10))]
    work += [{"kind": "hup", "share": 1.0, "gap_s": rng.choice([0.1, 0.5])} for _ in range(2)]
    work.append({"kind": "roll_term", "share": rng.choice([0.4, 1.0]), "how": rng.choice(["", "busy"]), "gap_s": 1.2})
    work.append({"kind": "release", "share": 0.5, "x": 1.0, "gap_s": 1.0})
    if rng.random() < 0.5:
        work.append({"kind": "add_nodes", "count": 1})
    if rng.random() < 0.5:
        work.append({"kind": "revoke", "count": 2, "gap_s": 1.5})
    at = FIRST
    for entry in rng.sample(work, len(work)):
        entry["at"] = round(at, 1)
        # Half of the planned work begins within the effect of the one before.
        at = min(LAST, at + rng.choice([0.2, 0.6, 2.0, 4.0]))
        yield entry


def toml(value):
    if isinstance(value, str):
        return f'"{value}"'
    return str(value)


def table(entry):
    return "{ " + ", ".join(f"{key} = {toml(value)}" for key, value in entry.items() if value != "") + " }"


def day(seed, number):
    rng = random.Random(f"{seed}/{number}")
    trouble = TROUBLES[number % len(TROUBLES)]
    name = f"mixed-{seed}-{number}-{trouble.__name__.replace('_', '-')}"
    faults = trouble(rng)
    for entry in faults:
        entry["at"] = round(rng.uniform(FIRST, LAST), 1)
    lines = [f'name = "{name}"']
    for key, entries in (("plan", planned_work(rng)), ("faults", sorted(faults, key=lambda entry: entry["at"]))):
        lines += [f"{key} = [", *(f"  {table(entry)}," for entry in entries), "]"]
    return name, "\n".join(lines) + "\n"


def main():
    if len(sys.argv) != 4:
        sys.exit(__doc__)
    seed, count, directory = int(sys.argv[1]), int(sys.argv[2]), pathlib.Path(sys.argv[3])
    directory.mkdir(parents=True, exist_ok=True)
    for number in range(count):
        name, text = day(seed, number)
        path = directory / f"{name}.toml"
        path.write_text(text)
        print(path)


if __name__ == "__main__":
    main()
