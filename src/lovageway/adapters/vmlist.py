"""Client of the platform's VM list.

The list is requested with its entity tag, so an unchanged list is not sent again.
"""

import json

import urllib3
from urllib3.exceptions import HTTPError

from lovageway.model import Vm

TIMEOUT_S = 2.0


class VmListClient:
    """Reads the VM list and keeps the last one.

    Parameters
    ----------
    url
        URL of the list.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        timeout = urllib3.Timeout(connect=TIMEOUT_S, read=TIMEOUT_S)
        self._pool = urllib3.PoolManager(timeout=timeout, retries=False)
        self._etag = ""
        self._vms: tuple[Vm, ...] = ()

    def read(self) -> tuple[Vm, ...] | None:
        """Return the list, None if it cannot be read."""
        try:
            resp = self._pool.request("GET", self._url, headers={"If-None-Match": self._etag})
            if resp.status == 304:
                return self._vms
            if resp.status != 200:
                return None
            vms = tuple(Vm(**fields) for fields in json.loads(resp.data)["vms"])
        except (HTTPError, OSError, ValueError, KeyError, TypeError):
            return None
        self._etag, self._vms = resp.headers.get("ETag", ""), vms
        return vms
