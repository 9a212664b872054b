"""Starts and stops the processes of a local system: stand-ins and daemons on loopback."""

import contextlib
import json
import os
import secrets
import select
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import urllib3

from standins.proxy import PeerProxy, Proxy

START_TIMEOUT_S = 30.0
WAIT_TIMEOUT_S = 30.0
http = urllib3.PoolManager(retries=False, maxsize=50, timeout=urllib3.Timeout(30.0))


def wait_for(condition, what, timeout_s=WAIT_TIMEOUT_S):
    """Poll until `condition()` is true and return its value.

    Other processes signal no events that could be awaited. Connection errors count as false.
    """
    end = time.monotonic() + timeout_s
    while True:
        with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
            if found := condition():
                return found
        if time.monotonic() > end:
            raise TimeoutError(f"{what} did not happen within {timeout_s} s")
        time.sleep(0.02)


def post(address, path, value):
    """Send a JSON body and return the JSON of the response."""
    return json.loads(http.request("POST", f"http://{address}{path}", json=value).data)


class Process:
    """A child process; its start ends when it has printed its addresses as one line of JSON."""

    def __init__(self, args, log, env):
        self.popen = subprocess.Popen(args, stdout=subprocess.PIPE, stderr=log, env=env)
        ready, _, _ = select.select([self.popen.stdout], [], [], START_TIMEOUT_S)
        line = self.popen.stdout.readline() if ready else b""
        if not line:
            self.kill()
            raise RuntimeError(f"{args} did not start")
        self.addresses = json.loads(line)
        self.address = self.addresses["listen"]

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        self.popen.kill()
        self.popen.wait()
        self.popen.stdout.close()

    def stop(self, timeout_s=WAIT_TIMEOUT_S):
        """Request a planned stop and return the exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)


class Fleet:
    """A platform, backend servers and daemons; all processes end with the `with` block."""

    def __init__(self, binary=None):
        self._dir = tempfile.TemporaryDirectory(prefix="lovageway-")
        self.dir = Path(self._dir.name)
        self.command = [binary] if binary else [sys.executable, "-m", "lovageway"]
        self.operator_key = self._secret("operator.key")
        self._secret("peer.key")
        self._secret("resume.key")
        self.log = (self.dir / "log").open("wb")
        self.processes = []
        self.daemons = {}
        self.vms = {}
        self.links = {}
        self.platform = self.standin("platform")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for link in (link for pair in self.links.values() for link in pair):
            link.__exit__()
        for process in self.processes:
            if process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.kill()
            process.popen.stdout.close()
        self.log.close()
        if os.environ.get("LOVAGEWAY_TEST_LOG"):
            sys.stderr.write((self.dir / "log").read_text())
        self._dir.cleanup()

    def _secret(self, name):
        secret = secrets.token_hex(16)
        (self.dir / name).write_text(secret)
        return secret

    def _start(self, args):
        # The one-file binary unpacks itself under PEX_ROOT.
        env = {**os.environ, "PEX_ROOT": str(self.dir / "pex")}
        process = Process(args, self.log, env)
        self.processes.append(process)
        return process

    def standin(self, kind, *options):
        """Start a stand-in process of the given kind."""
        return self._start([sys.executable, "-m", f"standins.{kind}", *options])

    def backend(self, vm_id, service, zone, kind, *options):
        """Start a backend server and list its VM."""
        process = self.standin(kind, *options)
        self.vms[vm_id] = {
            "vm_id": vm_id,
            "role": "backend",
            "service": service,
            "zone": zone,
            "address": process.address,
        }
        return process

    def daemon(self, vm_id, zone, more_lines=(), proxied=False, **daemon_settings):
        """Start a daemon and list its VM; `more_lines` are appended to its settings file.

        With `proxied`, `links[vm_id]` holds two proxies: one between the daemon and the platform,
        and one in front of its peer listener. With both cut, the daemon receives no response from
        the platform and no message from other daemons.
        """
        path = self.dir / f"{vm_id}.toml"
        platform = self.platform.address
        if proxied:
            links = self.links[vm_id] = (Proxy(platform), PeerProxy("127.0.0.1:1"))
            platform, daemon_settings["peer_advertise"] = (link.address for link in links)
        lines = ["[daemon]", f'vm_id = "{vm_id}"', f'zone = "{zone}"']
        lines += [f"{name} = {json.dumps(value)}" for name, value in daemon_settings.items()]
        lines += ["[platform]", f'table_url = "http://{platform}"']
        lines += [f'vm_list_url = "http://{platform}/v1/vms"', "[keys]"]
        lines += [f'peer_key_files = ["{self.dir}/peer.key"]']
        lines += [f'resume_key_files = ["{self.dir}/resume.key"]']
        lines += [f'operator_key_files = ["{self.dir}/operator.key"]']
        path.write_text("\n".join([*lines, *more_lines]) + "\n")
        process = self._start([*self.command, "serve", "--config", str(path)])
        self.daemons[vm_id] = process
        peer_address = process.addresses["peer_listen"]
        if proxied:
            host, _, port = peer_address.rpartition(":")
            links[1].target = (host, int(port))
            peer_address = links[1].address
        self.vms[vm_id] = {
            "vm_id": vm_id,
            "role": "entry",
            "service": "",
            "zone": zone,
            "address": process.address,
            "peer_address": peer_address,
        }
        return process

    def publish_vms(self):
        """Set the VM list of the platform."""
        post(self.platform.address, "/control", {"vms": list(self.vms.values())})

    def write_configuration(self, rows):
        """Write the first configuration directly to the table service."""
        puts = [["config/head", {"version": 1, "op_id": "seed"}]]
        puts += [[f"config/{key}", value] for key, value in rows.items()]
        body = {"op_id": "seed", "conditions": [["config/head", 0]], "puts": puts, "deletes": []}
        post(self.platform.address, "/v1/transact", body)

    def change_configuration(self, version, rows):
        """Write rows of a later version directly to the table service."""
        puts = [["config/head", {"version": version, "op_id": f"test-{version}"}]]
        puts += [[f"config/{key}", value] for key, value in rows.items()]
        body = {"op_id": f"test-{version}", "conditions": [], "puts": puts, "deletes": []}
        post(self.platform.address, "/v1/transact", body)

    def page(self, process, path):
        """Return the text at a path of the operators' interface."""
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        url = f"http://{process.addresses['operator_listen']}{path}"
        return http.request("GET", url, headers=headers).data.decode()

    def admin(self, process, path):
        """Return the JSON at a path of the operators' interface."""
        return json.loads(self.page(process, path))

    def begin(self, rows):
        """Write the configuration, publish the VM list and wait until the fleet is ready."""
        self.write_configuration(rows)
        self.publish_vms()
        self.wait_ready()

    def set_links(self, vm_id, mode):
        """Set the mode of both proxies of a daemon that was started with `proxied`."""
        for link in self.links[vm_id]:
            link.set_mode(mode)

    def partition(self, *sides):
        """Block peer connections between sides (lists of VM ids); without sides, block none."""
        for vm_id, (_, link) in self.links.items():
            own_side = next((side for side in sides if vm_id in side), self.links.keys())
            link.block(self.links.keys() - set(own_side))

    def control(self, **wanted):
        """Set faults of the platform (see `standins.platform`) and return its state."""
        return post(self.platform.address, "/control", wanted)

    def apply(self, process, op_id, changes, base_version=None):
        """Apply changes (key -> row, None deletes) through a daemon; return status and response."""
        changes = [{"key": key, "value": value} for key, value in changes.items()]
        body = {"op_id": op_id, "base_version": base_version, "changes": changes}
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        url = f"http://{process.addresses['operator_listen']}/admin/config/apply"
        resp = http.request("POST", url, json=body, headers=headers)
        return resp.status, json.loads(resp.data)

    def versions(self):
        """Return the configuration version in force at each daemon."""
        return [
            self.admin(process, "/admin/status")["version"] for process in self.daemons.values()
        ]

    def wait_ready(self):
        """Wait until each daemon has a configuration and each backend server is polled."""
        wait_for(self._ready, "a ready fleet")

    def _ready(self):
        dumps = [self.admin(process, "/admin/dump") for process in self.daemons.values()]
        polled = {server for dump in dumps for server in dump["backends"]["loads"]}
        backends = {vm_id for vm_id, vm in self.vms.items() if vm["role"] == "backend"}
        return all(dump["configuration"]["version"] > 0 for dump in dumps) and polled >= backends
