"""Kill, stop and rob real control replicas on loopback."""

import resource
import shutil
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
import urllib3
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.clusters import Process
from support import rule
from support import team
from urllib3.exceptions import HTTPError

POOL = urllib3.PoolManager(timeout=5.0, retries=False)
HEADERS = {"Nutmegchute-Operator": OPERATOR_KEY}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Start 3 control replicas and 2 entries that follow a first tree."""
    one = Cluster(tmp_path_factory.mktemp("controls"), ["a", "b", "c"])
    try:
        one.start(controls=3, entries=2, entries_keep_s=0.1)
        change(one, "first", 0)
        for entry in one.entries:
            one.wait_for(
                f"{entry.name} to follow",
                lambda e=entry: (one.ask(e) or {}).get("index"),
            )
        yield one
    finally:
        one.stop()


def post(process: Process, path: str, body: Any) -> tuple[int, Any]:
    """Post to a replica; return the status and the answer."""
    answer = POOL.request(
        "POST",
        f"http://{process.address}{path}",
        headers=HEADERS,
        body=msgspec.json.encode(body),
        redirect=False,
    )
    if answer.status != 200:
        return answer.status, answer.data
    return 200, msgspec.json.decode(answer.data)


def body(change_id: str, base: int) -> Any:
    """Build a change of the branch "lending"."""
    document = team(catalogo=[rule(deadline_ms=base + 1)])
    return {
        "change_id": change_id,
        "bases": {"lending": base},
        "documents": {"lending": document},
    }


def change(cluster: Cluster, change_id: str, base: int) -> Any:
    """Send a change, again and again, until its outcome is known."""

    def sent() -> Any:
        leader = cluster.leader()
        if leader is None:
            return None
        try:
            status, answer = post(leader, "/changes", body(change_id, base))
        except HTTPError:
            return None
        return answer if status == 200 else None

    return cluster.wait_for(f"the outcome of {change_id}", sent)


def revision(cluster: Cluster) -> int:
    """Read the branch's revision from the leader."""
    leader = cluster.wait_for("a leader", cluster.leader)
    tree = cluster.wait_for("a tree", lambda: cluster.ask(leader, "/tree"))
    return int(tree["revisions"].get("lending", 0))


def wait_in_force(cluster: Cluster, index: int) -> None:
    """Wait until a leader says that an index is in force everywhere."""

    def told() -> bool:
        leader = cluster.leader()
        status = cluster.ask(leader) if leader is not None else None
        if status is None:
            return False
        return bool(status["index"] >= index and status["in_force"])

    cluster.wait_for("in force", told)


def replicas(cluster: Cluster) -> Any:
    """Ask the leader for the replicas."""
    leader = cluster.wait_for("a leader", cluster.leader)
    return cluster.ask(leader, "/replicas")


def test_a_killed_leader_loses_no_accepted_change(cluster: Cluster) -> None:
    """The leader is killed between changes; its accepted ones stay.

    The operator resends a change whose answer came from the dead leader
    and gets that same answer from the new one.
    """
    base = revision(cluster)
    first = change(cluster, "killed-1", base)
    assert first["outcome"] == "accepted"
    old = cluster.wait_for("a leader", cluster.leader)
    old.signal(signal.SIGKILL)
    old.wait()
    assert change(cluster, "killed-1", base) == first
    second = change(cluster, "killed-2", base + 1)
    assert second["outcome"] == "accepted"
    old.restart()
    wait_in_force(cluster, second["index"])


def test_all_killed_at_once_remember_everything(cluster: Cluster) -> None:
    """Every replica is killed right after an answer.

    Answers were synced by a majority before they were given, so after the
    restart the tree, the audit trail and the answer to a resend are there.
    """
    base = revision(cluster)
    answers = [
        change(cluster, f"all-{number}", base + number) for number in range(20)
    ]
    for process in cluster.controls:
        process.signal(signal.SIGKILL)
    for process in cluster.controls:
        process.wait()
        process.restart()
    assert revision(cluster) == base + 20
    assert change(cluster, "all-19", base + 19) == answers[-1]
    leader = cluster.wait_for("a leader", cluster.leader)
    audit = cluster.ask(leader, "/audit?limit=20") or []
    assert [one["change_id"] for one in audit] == [
        f"all-{number}" for number in range(20)
    ]
    since = audit[-2]["index"]
    after = cluster.ask(leader, f"/audit?since={since}") or []
    assert [one["change_id"] for one in after] == ["all-19"]


def test_a_stopped_leader_answers_nothing_old(cluster: Cluster) -> None:
    """The leader freezes, the others go on, and it wakes up again.

    It still believes to lead for a moment. No entry goes back to its
    older tree, and a change sent to it is not accepted twice.
    """
    base = revision(cluster)
    index = change(cluster, "stopped-1", base)["index"]
    wait_in_force(cluster, index)
    old = cluster.wait_for("a leader", cluster.leader)
    old.signal(signal.SIGSTOP)
    try:
        others = [one for one in cluster.controls if one is not old]
        accepted = cluster.wait_for(
            "a change without the frozen leader",
            lambda: first_accepted(others, body("stopped-2", base + 1)),
        )
    finally:
        old.signal(signal.SIGCONT)
    wait_in_force(cluster, accepted["index"])
    for entry in cluster.entries:
        status = cluster.ask(entry)
        assert status is not None
        assert status["index"] >= accepted["index"]
    assert change(cluster, "stopped-2", base + 1) == accepted
    assert revision(cluster) == base + 2


def first_accepted(processes: list[Process], request: Any) -> Any:
    """Send a change to each; return the first answer."""
    for process in processes:
        try:
            status, answer = post(process, "/changes", request)
        except HTTPError:
            continue
        if status == 200:
            return answer
    return None


def test_restarted_entry_acts_on_nothing_old(cluster: Cluster) -> None:
    """An entry restarts while only one replica, without a quorum, runs.

    That replica may lack the newest change. The entry gets no tree from
    it and refuses calls as "not run" until a leader is confirmed.
    """
    index = change(cluster, "entry-1", revision(cluster))["index"]
    wait_in_force(cluster, index)
    stopped = cluster.controls[1:]
    entry = cluster.entries[0]
    for process in stopped:
        process.signal(signal.SIGSTOP)
    try:
        entry.signal(signal.SIGKILL)
        entry.wait()
        entry.restart()
        cluster.wait_for("the entry", lambda: cluster.ask(entry))
        answer = POOL.request(
            "GET", f"http://{entry.address}/call/catalogo/shelf"
        )
        assert answer.status == 503
        assert answer.headers["Nutmegchute-Outcome"] == "not-run"
    finally:
        for process in stopped:
            process.signal(signal.SIGCONT)
    wait_in_force(cluster, index)
    cluster.wait_for(
        "the entry's tree",
        lambda: (cluster.ask(entry) or {}).get("index", 0) >= index,
    )


def test_lost_disk_returns_as_another_replica(cluster: Cluster) -> None:
    """A disk is lost, the replica repaired, and then a second one lost.

    Under its old identity the replica would vote against what it forgot.
    It introduces itself under a new one, is taken in as a learner, votes
    once it has caught up, and carries the group when the next one dies.
    """
    base = revision(cluster)
    before = change(cluster, "disk-1", base)
    leader = cluster.wait_for("a leader", cluster.leader)
    lost, other = [one for one in cluster.controls if one is not leader]
    old = identity_of(cluster, lost)
    lost.signal(signal.SIGKILL)
    lost.wait()
    shutil.rmtree(cluster.folder / lost.name)
    lost.restart()
    wish = {"action": "replace", "name": lost.name}

    def replaced() -> bool:
        # The leader replaces a namesake that was silent for a second by
        # itself, and then refuses the operator's wish.
        if post(leader, "/replicas", wish)[0] == 200:
            return True
        return bool(identity_of(cluster, lost) != old)

    cluster.wait_for("the replacement", replaced)

    def votes() -> bool:
        found = replicas(cluster)["replicas"]
        return [one["kind"] for one in found].count("learner") == 0

    cluster.wait_for("the vote", votes)
    assert identity_of(cluster, lost) != old
    other.signal(signal.SIGKILL)
    other.wait()
    after = change(cluster, "disk-2", base + 1)
    assert after["outcome"] == "accepted"
    assert change(cluster, "disk-1", base) == before
    other.restart()
    wait_in_force(cluster, after["index"])


def identity_of(cluster: Cluster, process: Process) -> Any:
    """Read a replica's identity from the leader."""
    for row in replicas(cluster)["replicas"]:
        if row["name"] == process.name:
            return row["identity"]
    return None


def test_impossible_changes_of_replicas_are_refused(cluster: Cluster) -> None:
    """Nothing is changed when the replica is unknown or not there."""
    leader = cluster.wait_for("a leader", cluster.leader)
    for wish, text in (
        ({"action": "add", "name": "control-9"}, b"not introduced"),
        ({"action": "remove", "name": "control-9"}, b"no replica is named"),
    ):
        status, reason = post(leader, "/replicas", wish)
        assert status == 409
        assert text in reason
    status, _ = post(leader, "/replicas", {"action": "x", "name": "y"})
    assert status == 400


def test_second_daemon_on_a_folder_is_refused(cluster: Cluster) -> None:
    """Its exit status and one line name the folder that is in use."""
    settings = cluster.folder / "control-1.json"
    document = msgspec.json.decode(settings.read_bytes())
    copy = Path(cluster.folder) / "second.json"
    copy.write_bytes(msgspec.json.encode(document))
    ended = subprocess.run(
        [sys.executable, "-m", "nutmegchute_daemon", str(copy)],
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert ended.returncode == 2
    assert "in use by another daemon" in ended.stderr


def test_full_disk_stands_still_and_recovers(cluster: Cluster) -> None:
    """The leader's disk takes no more bytes; later there is room again.

    It must not acknowledge what it could not sync: it stands still and
    says why, the others go on, and it catches up by itself once it can
    write. Changes sent meanwhile are accepted once or not at all.
    """
    base = revision(cluster)
    leader = cluster.wait_for("a leader", cluster.leader)
    log_bytes = (cluster.folder / f"{leader.name}.log").stat().st_size
    limit = log_bytes + 8_000
    endless = resource.RLIM_INFINITY
    resource.prlimit(leader.pid, resource.RLIMIT_FSIZE, (limit, endless))
    sent = 0
    try:
        status = cluster.ask(leader) or {}
        while status.get("state") != "storage-failed":
            assert sent < 200
            answer = change(cluster, f"full-{sent}", base + sent)
            assert answer["outcome"] == "accepted"
            sent += 1
            status = cluster.ask(leader) or {}
        # Of the same answer: the replica goes on at once in a new segment.
        assert "File too large" in status["problem"]
        assert change(cluster, "full-x", base + sent)["outcome"] == "accepted"
    finally:
        resource.prlimit(leader.pid, resource.RLIMIT_FSIZE, (endless, endless))
    assert revision(cluster) == base + sent + 1

    def whole() -> bool:
        found = cluster.ask(leader, "/tree") or {"revisions": {}}
        return bool(found["revisions"].get("lending") == base + sent + 1)

    cluster.wait_for("the replica to catch up", whole)
    assert (cluster.ask(leader) or {})["problem"] is None


def test_forbidden_change_is_on_the_audit_trail(tmp_path: Path) -> None:
    """A key opens one branch; an attempt on another leaves a record.

    Whoever looks next morning sees who tried, though nothing was changed.
    An unknown key gets 401 and no record.
    """
    cluster = Cluster(tmp_path, ["a"])
    try:
        cluster.start(controls=1, entries=0)
        process = cluster.controls[0]
        settings = tmp_path / f"{process.name}.json"
        document = msgspec.json.decode(settings.read_bytes())
        document["operators"][0]["branches"] = ["sync"]
        settings.write_bytes(msgspec.json.encode(document))
        process.signal(signal.SIGTERM)
        process.wait()
        process.restart()
        cluster.wait_for("a leader", cluster.leader)
        assert post(process, "/changes", body("no", 0))[0] == 403
        wish = {"action": "remove", "name": process.name}
        assert post(process, "/replicas", wish)[0] == 403
        wrong = POOL.request(
            "POST", f"http://{process.address}/changes", body=b"{}"
        )
        assert wrong.status == 401
        (record,) = cluster.ask(process, "/audit") or []
        assert record["outcome"] == "forbidden"
        assert record["change_id"] == "no"
        assert record["to_revisions"] == {"lending": 0}
    finally:
        cluster.stop()


def test_stopped_replica_hands_its_vote_over(tmp_path: Path) -> None:
    """A replica is replaced by another one, then a disk and all power go.

    The operator waits for a change that is never taken: the replaced
    replica went on counting, so with it and the one without its disk gone,
    the two that are left of four were no majority.
    """
    cluster = Cluster(tmp_path, ["a", "b", "c"])
    try:
        cluster.start(controls=3, entries=0)
        change(cluster, "before", 0)
        cluster.add_control("control-4")
        newcomer = cluster.controls[-1]
        wish = {"action": "add", "name": newcomer.name}

        def added() -> bool:
            leader = cluster.leader()
            return leader is not None and post(leader, "/replicas", wish)[
                0
            ] in (200, 409)

        def caught_up() -> bool:
            for row in replicas(cluster)["replicas"]:
                if row["name"] == newcomer.name:
                    return bool(row["match_index"])
            added()
            return False

        cluster.wait_for("the newcomer to catch up", caught_up)
        replaced = cluster.wait_for("a leader", cluster.leader)
        replaced.signal(signal.SIGTERM)
        assert replaced.wait() == 0
        answer = change(cluster, "after", 1)
        left = [one for one in cluster.controls if one is not replaced]
        for process in left:
            process.kill()
        lost, *others = left
        shutil.rmtree(tmp_path / lost.name)
        for process in others:
            process.restart()
        assert change(cluster, "after", 1) == answer
        assert change(cluster, "last", 2)["outcome"] == "accepted"
    finally:
        cluster.stop()


def evacuated(cluster: Cluster, process: Process) -> Any:
    """List the evacuated zones as a replica knows them, if it answers."""
    found = cluster.ask(process, "/evacuations")
    if found is None:
        return None
    return [one["availability_zone"] for one in found]


def test_evacuation_outlasts_its_leader(cluster: Cluster) -> None:
    """Guard against an acknowledged evacuation that a new leader forgot."""
    order = {"availability_zone": "b", "evacuate": True}
    leader = cluster.wait_for("a leader", cluster.leader)
    assert post(leader, "/evacuations", order)[0] == 200
    status, answer = post(leader, "/evacuations", order)
    assert (status, answer["detail"]) == (200, "nothing to change")
    for one in cluster.controls:
        cluster.wait_for(
            f"it at {one.name}", lambda c=one: evacuated(cluster, c) == ["b"]
        )
    leader.kill()
    successor = cluster.wait_for("a leader", cluster.leader)
    assert evacuated(cluster, successor) == ["b"]
    leader.restart()
    back = {"availability_zone": "b", "evacuate": False}
    status, answer = post(successor, "/evacuations", back)
    assert (status, answer["outcome"]) == (200, "accepted")
    cluster.wait_for("the order", lambda: evacuated(cluster, leader) == [])


def test_evacuation_of_no_zone_changes_nothing(cluster: Cluster) -> None:
    """Guard against an ill-formed order that reaches the log."""
    leader = cluster.wait_for("a leader", cluster.leader)
    for zone in ("", "Hall A", "x" * 80):
        order = {"availability_zone": zone, "evacuate": True}
        assert post(leader, "/evacuations", order)[0] == 400
    assert evacuated(cluster, leader) == []
