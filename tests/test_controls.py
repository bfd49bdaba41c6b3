"""Kill, suspend and wipe real control replicas on loopback."""

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
    """Start 3 control replicas and 2 entries that apply a first tree."""
    one = Cluster(tmp_path_factory.mktemp("controls"), ["a", "b", "c"])
    try:
        one.start(controls=3, entries=2, entries_keep_s=0.1)
        change(one, "first", 0)
        for entry in one.entries:
            one.wait_for(
                f"{entry.name} to follow",
                lambda e=entry: (one.fetch(e) or {}).get("index"),
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


def build_change(change_id: str, base: int) -> Any:
    """Build a change of the branch "lending"."""
    document = team(catalogo=[rule(deadline_ms=base + 1)])
    return {
        "change_id": change_id,
        "bases": {"lending": base},
        "documents": {"lending": document},
    }


def change(cluster: Cluster, change_id: str, base: int) -> Any:
    """Resend a change until its outcome is known."""

    def try_send() -> Any:
        leader = cluster.leader()
        if leader is None:
            return None
        try:
            status, answer = post(
                leader, "/changes", build_change(change_id, base)
            )
        except HTTPError:
            return None
        return answer if status == 200 else None

    return cluster.wait_for(f"the outcome of {change_id}", try_send)


def read_revision(cluster: Cluster) -> int:
    """Read the branch's revision from the leader."""
    leader = cluster.wait_for("a leader", cluster.leader)
    tree = cluster.wait_for("a tree", lambda: cluster.fetch(leader, "/tree"))
    return int(tree["revisions"].get("lending", 0))


def wait_in_force(cluster: Cluster, index: int) -> None:
    """Wait until a leader reports that all entries apply an index."""

    def is_in_force() -> bool:
        leader = cluster.leader()
        status = cluster.fetch(leader) if leader is not None else None
        if status is None:
            return False
        return bool(status["index"] >= index and status["in_force"])

    cluster.wait_for("in force", is_in_force)


def list_replicas(cluster: Cluster) -> Any:
    """Return the replicas as the leader lists them."""
    leader = cluster.wait_for("a leader", cluster.leader)
    return cluster.fetch(leader, "/replicas")


def test_a_killed_leader_loses_no_accepted_change(cluster: Cluster) -> None:
    """A killed leader's accepted changes persist.

    A change that it answered and that the operator resends gets the same
    answer from the new leader.
    """
    base = read_revision(cluster)
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


def test_all_killed_at_once_lose_no_accepted_change(cluster: Cluster) -> None:
    """All replicas are killed right after an answer.

    A majority syncs a change before it is answered, so after the restart
    the tree, the audit trail and the answer to a resend are complete.
    """
    base = read_revision(cluster)
    answers = [
        change(cluster, f"all-{number}", base + number) for number in range(20)
    ]
    for process in cluster.controls:
        process.signal(signal.SIGKILL)
    for process in cluster.controls:
        process.wait()
        process.restart()
    assert read_revision(cluster) == base + 20
    assert change(cluster, "all-19", base + 19) == answers[-1]
    leader = cluster.wait_for("a leader", cluster.leader)
    audit = cluster.fetch(leader, "/audit?limit=20") or []
    assert [one["change_id"] for one in audit] == [
        f"all-{number}" for number in range(20)
    ]
    since = audit[-2]["index"]
    after = cluster.fetch(leader, f"/audit?since={since}") or []
    assert [one["change_id"] for one in after] == ["all-19"]


def test_a_suspended_leader_serves_no_outdated_tree(cluster: Cluster) -> None:
    """The leader is suspended, the others elect another, and it resumes.

    For a moment it still considers itself the leader. No entry may go back
    to its older tree, and no change may be accepted twice.
    """
    base = read_revision(cluster)
    index = change(cluster, "stopped-1", base)["index"]
    wait_in_force(cluster, index)
    old = cluster.wait_for("a leader", cluster.leader)
    old.signal(signal.SIGSTOP)
    try:
        others = [one for one in cluster.controls if one is not old]
        accepted = cluster.wait_for(
            "a change without the suspended leader",
            lambda: first_accepted(
                others, build_change("stopped-2", base + 1)
            ),
        )
    finally:
        old.signal(signal.SIGCONT)
    wait_in_force(cluster, accepted["index"])
    for entry in cluster.entries:
        status = cluster.fetch(entry)
        assert status is not None
        assert status["index"] >= accepted["index"]
    assert change(cluster, "stopped-2", base + 1) == accepted
    assert read_revision(cluster) == base + 2


def first_accepted(processes: list[Process], request: Any) -> Any:
    """Send a change to each process; return the first answer."""
    for process in processes:
        try:
            status, answer = post(process, "/changes", request)
        except HTTPError:
            continue
        if status == 200:
            return answer
    return None


def test_restarted_entry_uses_no_unconfirmed_tree(cluster: Cluster) -> None:
    """An entry restarts while only one replica runs, without a quorum.

    That replica may lack the newest change. The entry must get no tree
    from it and refuse calls as "not-run" until a leader is confirmed.
    """
    index = change(cluster, "entry-1", read_revision(cluster))["index"]
    wait_in_force(cluster, index)
    stopped = cluster.controls[1:]
    entry = cluster.entries[0]
    for process in stopped:
        process.signal(signal.SIGSTOP)
    try:
        entry.signal(signal.SIGKILL)
        entry.wait()
        entry.restart()
        cluster.wait_for("the entry", lambda: cluster.fetch(entry))
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
        lambda: (cluster.fetch(entry) or {}).get("index", 0) >= index,
    )


def test_replica_with_a_lost_disk_rejoins_under_a_new_identity(
    cluster: Cluster,
) -> None:
    """A replica loses its disk and rejoins; then a second one is killed.

    Under its old identity the replica could vote contrary to votes and
    entries that it has lost. It joins under a new identity as a learner,
    becomes a voter once it has caught up, and completes the majority when
    the next replica is killed.
    """
    base = read_revision(cluster)
    before = change(cluster, "disk-1", base)
    leader = cluster.wait_for("a leader", cluster.leader)
    lost, other = [one for one in cluster.controls if one is not leader]
    old = identity_of(cluster, lost)
    lost.signal(signal.SIGKILL)
    lost.wait()
    shutil.rmtree(cluster.folder / lost.name)
    lost.restart()
    membership_request = {"action": "replace", "name": lost.name}

    def replaced() -> bool:
        # The leader replaces a replica of the same name by itself once the
        # old one was silent for 1 s, and then refuses the operator's request.
        if post(leader, "/replicas", membership_request)[0] == 200:
            return True
        return bool(identity_of(cluster, lost) != old)

    cluster.wait_for("the replacement", replaced)

    def has_no_learner() -> bool:
        found = list_replicas(cluster)["replicas"]
        return [one["kind"] for one in found].count("learner") == 0

    cluster.wait_for("the promotion", has_no_learner)
    assert identity_of(cluster, lost) != old
    other.signal(signal.SIGKILL)
    other.wait()
    after = change(cluster, "disk-2", base + 1)
    assert after["outcome"] == "accepted"
    assert change(cluster, "disk-1", base) == before
    other.restart()
    wait_in_force(cluster, after["index"])


def identity_of(cluster: Cluster, process: Process) -> Any:
    """Return a replica's identity as the leader lists it."""
    for row in list_replicas(cluster)["replicas"]:
        if row["name"] == process.name:
            return row["identity"]
    return None


def test_impossible_changes_of_replicas_are_refused(cluster: Cluster) -> None:
    """A request that names an unknown replica or action is refused."""
    leader = cluster.wait_for("a leader", cluster.leader)
    for membership_request, text in (
        ({"action": "add", "name": "control-9"}, b"not introduced"),
        ({"action": "remove", "name": "control-9"}, b"no replica is named"),
    ):
        status, reason = post(leader, "/replicas", membership_request)
        assert status == 409
        assert text in reason
    status, _ = post(leader, "/replicas", {"action": "x", "name": "y"})
    assert status == 400


def test_second_daemon_on_a_folder_is_refused(cluster: Cluster) -> None:
    """The daemon exits with status 2 and says that the folder is in use."""
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


def test_replica_with_a_full_disk_stops_and_recovers(cluster: Cluster) -> None:
    """The leader's disk is full; later there is space again.

    It must not acknowledge what it could not sync: it stops and reports
    why, the others continue, and it catches up by itself once it can write
    again. Changes sent meanwhile are accepted at most once.
    """
    base = read_revision(cluster)
    leader = cluster.wait_for("a leader", cluster.leader)
    log_bytes = (cluster.folder / f"{leader.name}.log").stat().st_size
    limit = log_bytes + 8_000
    unlimited = resource.RLIM_INFINITY
    resource.prlimit(leader.pid, resource.RLIMIT_FSIZE, (limit, unlimited))
    sent = 0
    try:
        status = cluster.fetch(leader) or {}
        while status.get("state") != "storage-failed":
            assert sent < 200
            answer = change(cluster, f"full-{sent}", base + sent)
            assert answer["outcome"] == "accepted"
            sent += 1
            status = cluster.fetch(leader) or {}
        # From the same answer: the replica continues in a new segment, so
        # that another query might no longer report the problem.
        assert "File too large" in status["problem"]
        assert change(cluster, "full-x", base + sent)["outcome"] == "accepted"
    finally:
        resource.prlimit(
            leader.pid, resource.RLIMIT_FSIZE, (unlimited, unlimited)
        )
    assert read_revision(cluster) == base + sent + 1

    def has_all_changes() -> bool:
        found = cluster.fetch(leader, "/tree") or {"revisions": {}}
        return bool(found["revisions"].get("lending") == base + sent + 1)

    cluster.wait_for("the replica to catch up", has_all_changes)
    assert (cluster.fetch(leader) or {})["problem"] is None


def test_forbidden_change_is_on_the_audit_trail(tmp_path: Path) -> None:
    """A key permits one branch; an attempt to change another is recorded.

    The audit trail shows who tried, though nothing was changed. A request
    without a known key gets 401 and no record.
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
        assert post(process, "/changes", build_change("no", 0))[0] == 403
        membership_request = {"action": "remove", "name": process.name}
        assert post(process, "/replicas", membership_request)[0] == 403
        wrong = POOL.request(
            "POST", f"http://{process.address}/changes", body=b"{}"
        )
        assert wrong.status == 401
        (record,) = cluster.fetch(process, "/audit") or []
        assert record["outcome"] == "forbidden"
        assert record["change_id"] == "no"
        assert record["to_revisions"] == {"lending": 0}
    finally:
        cluster.stop()


def test_stopping_replica_gives_up_its_vote(tmp_path: Path) -> None:
    """A fourth replica joins, one is stopped, then power and a disk fail.

    If the stopped replica kept its vote, the group would have four voters.
    Without it and the one that lost its disk, the remaining two would be no
    majority, and the operator's next change would never be accepted.
    """
    cluster = Cluster(tmp_path, ["a", "b", "c"])
    try:
        cluster.start(controls=3, entries=0)
        change(cluster, "before", 0)
        cluster.add_control("control-4")
        new_replica = cluster.controls[-1]
        membership_request = {"action": "add", "name": new_replica.name}

        def added() -> bool:
            leader = cluster.leader()
            return leader is not None and post(
                leader, "/replicas", membership_request
            )[0] in (200, 409)

        def caught_up() -> bool:
            for row in list_replicas(cluster)["replicas"]:
                if row["name"] == new_replica.name:
                    return bool(row["match_index"])
            added()
            return False

        cluster.wait_for("the new replica to catch up", caught_up)
        replaced = cluster.wait_for("a leader", cluster.leader)
        replaced.signal(signal.SIGTERM)
        assert replaced.wait() == 0
        answer = change(cluster, "after", 1)
        remaining = [one for one in cluster.controls if one is not replaced]
        for process in remaining:
            process.kill()
        lost, *others = remaining
        shutil.rmtree(tmp_path / lost.name)
        for process in others:
            process.restart()
        assert change(cluster, "after", 1) == answer
        assert change(cluster, "last", 2)["outcome"] == "accepted"
    finally:
        cluster.stop()


def list_evacuated(cluster: Cluster, process: Process) -> Any:
    """List the evacuated zones that a replica reports, None if silent."""
    found = cluster.fetch(process, "/evacuations")
    if found is None:
        return None
    return [one["availability_zone"] for one in found]


def test_evacuation_survives_a_leader_change(cluster: Cluster) -> None:
    """A new leader keeps an evacuation that was acknowledged."""
    order = {"availability_zone": "b", "evacuate": True}
    leader = cluster.wait_for("a leader", cluster.leader)
    assert post(leader, "/evacuations", order)[0] == 200
    status, answer = post(leader, "/evacuations", order)
    assert (status, answer["detail"]) == (200, "nothing to change")
    for one in cluster.controls:
        cluster.wait_for(
            f"the order at {one.name}",
            lambda c=one: list_evacuated(cluster, c) == ["b"],
        )
    leader.kill()
    successor = cluster.wait_for("a leader", cluster.leader)
    assert list_evacuated(cluster, successor) == ["b"]
    leader.restart()
    back = {"availability_zone": "b", "evacuate": False}
    status, answer = post(successor, "/evacuations", back)
    assert (status, answer["outcome"]) == (200, "accepted")
    cluster.wait_for(
        "the order", lambda: list_evacuated(cluster, leader) == []
    )


def test_evacuation_of_an_invalid_zone_is_refused(cluster: Cluster) -> None:
    """A malformed order must not reach the log."""
    leader = cluster.wait_for("a leader", cluster.leader)
    for zone in ("", "Hall A", "x" * 80):
        order = {"availability_zone": zone, "evacuate": True}
        assert post(leader, "/evacuations", order)[0] == 400
    assert list_evacuated(cluster, leader) == []
