"""Starts and stops the processes of a small deployment for demos, tests and benchmarks."""

import os
import re
import select
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

STOP_TIMEOUT_S = 15.0
START_TIMEOUT_S = 20.0
OPERATOR_CREDENTIAL = "operator-credential-for-tests"
PEER_CREDENTIAL = "peer-credential-for-tests"


class Process(NamedTuple):
    """A started process.

    :param addresses: bound ``ip:port`` by interface; a stand-in has only ``listening``.
    """

    name: str
    popen: subprocess.Popen
    addresses: dict[str, str]
    log: Path


class ProcessGroup:
    """Stand-ins and daemons that run as child processes.

    :param folder: existing folder for the log files.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.processes: dict[str, Process] = {}

    def start_standin(self, name: str, *args: str) -> Process:
        """Start a stand-in and wait until it listens.

        :param args: arguments of ``greengagehoist-standin``.
        :raises RuntimeError: if it does not listen in time.
        """
        popen = self._spawn(name, "greengagehoist.standins", args, stdout=subprocess.PIPE)
        ready, _, _ = select.select([popen.stdout], [], [], START_TIMEOUT_S)
        line = popen.stdout.readline().decode() if ready else ""
        if not line.startswith("listening="):
            raise RuntimeError(f"{name} did not start: {self._log_path(name).read_text()[-500:]}")
        addresses = {"listening": line.strip().removeprefix("listening=")}
        return self._register(name, popen, addresses)

    def start_daemon(self, name: str, data_centre: str, platform: str, *args: str) -> Process:
        """Start a daemon and wait until all its interfaces listen.

        :raises RuntimeError: if it does not listen in time.
        """
        flags = ["--vm", name, "--data-centre", data_centre, "--platform", platform]
        for interface in ("callers", "operators", "peers"):
            flags += [f"--{interface}", "127.0.0.1:0"]
        flags += ["--operator-credential", OPERATOR_CREDENTIAL]
        flags += ["--peer-credential", PEER_CREDENTIAL, *args]
        popen = self._spawn(name, "greengagehoist.daemon", flags)
        addresses = self._wait_for_addresses(name, popen)
        return self._register(name, popen, addresses)

    def signal(self, name: str, signum: int) -> None:
        """Send a signal to a process."""
        self.processes[name].popen.send_signal(signum)

    def stop(self, name: str) -> int:
        """Send SIGTERM and return the exit code; kill the process after ``STOP_TIMEOUT_S``.

        SIGCONT comes first, because a process paused by SIGSTOP does not handle SIGTERM.
        """
        popen = self.processes.pop(name).popen
        popen.send_signal(signal.SIGCONT)
        popen.terminate()
        try:
            return popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            popen.kill()
            return popen.wait()

    def stop_all(self) -> None:
        """Kill all processes of the group."""
        for process in self.processes.values():
            process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        self.processes.clear()

    def _spawn(self, name: str, module: str, args, stdout=subprocess.DEVNULL) -> subprocess.Popen:
        code = f"import sys; from {module} import main; sys.argv[0] = {name!r}; main()"
        env = {**os.environ, "PYTHONUNBUFFERED": "1"}
        with self._log_path(name).open("wb") as log:
            return subprocess.Popen(
                [sys.executable, "-c", code, *args], stdout=stdout, stderr=log, env=env
            )

    def _log_path(self, name: str) -> Path:
        return self.folder / f"{name}.log"

    def _wait_for_addresses(self, name: str, popen: subprocess.Popen) -> dict[str, str]:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and popen.poll() is None:
            text = self._log_path(name).read_text()
            found = dict(re.findall(r"event=listening interface=(\w+) address=(\S+)", text))
            if "operators" in found and "callers" in found:
                return found
            time.sleep(0.02)
        raise RuntimeError(f"{name} did not start: {self._log_path(name).read_text()[-500:]}")

    def _register(self, name: str, popen: subprocess.Popen, addresses: dict[str, str]) -> Process:
        self.processes[name] = Process(name, popen, addresses, self._log_path(name))
        return self.processes[name]
