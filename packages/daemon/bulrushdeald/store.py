"""The bulk store of a VM with a disk: immutable objects in one folder.

An object is a file of its data and a 32-byte SHA-256. It stands in a folder
named for the VM that holds the other copy, so that the objects which lost
their other copy with a VM are listed by one folder and need no index.
"""

from collections.abc import Iterator
import contextlib
import errno
import hashlib
import os
import pathlib
import threading
from typing import Any, NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import defaults
from bulrushdeald import objects
from bulrushdeald import services

_log = logs.Log("store")

_DIGEST_BYTES = 32
_UPLOAD_IDLE_S = 60.0
_MAX_UPLOADS = 256
_MAX_NAMES = 1000
# Stands for "no other copy" as the name of a folder.
_ALONE = "+"


class _Upload(NamedTuple):
    """An object of which some pieces have arrived."""

    path: pathlib.Path
    digest: Any
    written_bytes: int
    touched_s: float


class _Found(NamedTuple):
    """An object's file and its length without the checksum."""

    path: pathlib.Path
    size_bytes: int
    written_wall_s: float


class Stored(NamedTuple):
    """An object's content and when it was first written."""

    data: bytes
    written_wall_s: float


class DiskStore:
    """Keeps immutable objects under the data folder."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._folder = pathlib.Path(settings.data_folder)
        self._objects = self._folder / "objects"
        self._incoming = self._folder / "incoming"
        self._lock = threading.Lock()
        self._uploads: dict[str, _Upload] = {}
        self._puts = 0

    def start(self) -> None:
        """Makes the folders, drops unfinished writes and answers peers."""
        self._objects.mkdir(parents=True, exist_ok=True)
        self._incoming.mkdir(parents=True, exist_ok=True)
        for path in self._incoming.iterdir():
            path.unlink()
        peers = self._kernel.find(services.PEERS, services.Peers)
        peers.handle(objects.StorePut, self._on_put)
        peers.handle(objects.StoreGet, self._on_get)
        peers.handle(objects.StoreRetag, self._on_retag)
        peers.handle(objects.StoreDelete, self._on_delete)
        peers.handle(objects.StoreList, self._on_list)

    def stop(self, grace_s: float) -> None:
        """Has nothing to wait for: what was answered is on the disk."""
        del grace_s

    def dump(self) -> Any:
        """Returns how much the store holds by partner."""
        partners = {
            partner.name: sum(1 for _ in _files(partner))
            for partner in self._partners()
        }
        return {
            "objects_by_partner": partners,
            "open_uploads": len(self._uploads),
            "puts": self._puts,
        }

    def partners(self) -> list[str]:
        """Returns the VMs that hold other copies; empty stands for none."""
        names = [path.name for path in self._partners()]
        return ["" if name == _ALONE else name for name in names]

    def names_with(self, partner: str) -> Iterator[str]:
        """Yields the objects whose other copy is on a VM."""
        folder = self._objects / (partner or _ALONE)
        if folder.is_dir():
            yield from _files(folder)

    def read(self, name: str) -> Stored | None:
        """Returns an object, unless it is missing or damaged."""
        found = self._find(name)
        if found is None:
            return None
        content = found.path.read_bytes()
        data, digest = content[:-_DIGEST_BYTES], content[-_DIGEST_BYTES:]
        if hashlib.sha256(data).digest() != digest:
            _log.error("Object %s is damaged.", name)
            return None
        return Stored(data, found.written_wall_s)

    def retag(self, name: str, partner: str) -> None:
        """Notes that the other copy of an object is on another VM now."""
        found = self._find(name)
        if found is not None:
            self._move(found, name, partner)

    def expire(self, before_wall_s: float) -> int:
        """Deletes objects written before a time; returns how many."""
        count = 0
        for partner in self._partners():
            for path in _paths(partner):
                with contextlib.suppress(FileNotFoundError):
                    if path.stat().st_mtime < before_wall_s:
                        path.unlink()
                        count += 1
        return count

    def _on_put(self, vm: str, put: objects.StorePut) -> objects.StoreReply:
        del vm
        if not objects.is_name(put.name) or not put.upload.isalnum():
            return objects.StoreReply("broken", "not a name")
        held = self._find(put.name)
        if held is not None:
            return self._put_again(held, put)
        try:
            return self._add_piece(put)
        except OSError as error:
            self._drop(put.upload)
            _log.warning("Cannot write %s: %s.", put.name, error)
            is_full = error.errno in (errno.ENOSPC, errno.EDQUOT)
            return objects.StoreReply("full" if is_full else "broken", "disk")

    def _put_again(
        self, held: _Found, put: objects.StorePut
    ) -> objects.StoreReply:
        # The answer to an earlier write was lost, or a writer that lost its
        # claim comes late. The same content is welcome, other content never
        # replaces what a reader may have seen.
        self._drop(put.upload)
        if _read_checksum(held) != put.checksum:
            return objects.StoreReply("fenced", "held with other content")
        self._move(held, put.name, put.partner)
        return objects.StoreReply("ok", "held")

    def _add_piece(self, put: objects.StorePut) -> objects.StoreReply:
        upload = self._upload(put)
        if upload is None:
            return objects.StoreReply("broken", "pieces out of order")
        with open(upload.path, "ab") as file:
            file.write(put.data)
            upload.digest.update(put.data)
            written = upload.written_bytes + len(put.data)
            if written < put.size_bytes:
                self._keep(put.upload, upload._replace(written_bytes=written))
                return objects.StoreReply("ok")
            if upload.digest.hexdigest() != put.checksum:
                self._drop(put.upload)
                return objects.StoreReply("broken", "checksum")
            file.write(upload.digest.digest())
            file.flush()
            os.utime(file.fileno(), (put.written_wall_s, put.written_wall_s))
            os.fsync(file.fileno())
        self._publish(put, upload)
        return objects.StoreReply("ok")

    def _publish(self, put: objects.StorePut, upload: _Upload) -> None:
        # Renamed only when synced, and the folder synced before the answer:
        # a crash shows either the whole object or none, and what was
        # answered is there after a power cut.
        target = self._path(put.name, put.partner)
        _make_synced(target.parent)
        os.rename(upload.path, target)
        _sync_folder(target.parent)
        with self._lock:
            self._uploads.pop(put.upload, None)
            self._puts += 1

    def _upload(self, put: objects.StorePut) -> _Upload | None:
        with self._lock:
            upload = self._uploads.get(put.upload)
            if upload is None and put.offset_bytes == 0:
                self._drop_idle()
                return _Upload(
                    self._incoming / put.upload, hashlib.sha256(), 0, 0.0
                )
        if upload is None or upload.written_bytes != put.offset_bytes:
            return None
        return upload

    def _keep(self, name: str, upload: _Upload) -> None:
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._uploads[name] = upload._replace(touched_s=now_s)

    def _drop(self, name: str) -> None:
        with self._lock:
            self._uploads.pop(name, None)
        with contextlib.suppress(OSError):
            (self._incoming / name).unlink(missing_ok=True)

    def _drop_idle(self) -> None:
        # A writer that died leaves its pieces behind; they must not pile up.
        limit_s = self._clock.monotonic_s() - _UPLOAD_IDLE_S
        idle = [
            name
            for name, upload in self._uploads.items()
            if upload.touched_s < limit_s or len(self._uploads) > _MAX_UPLOADS
        ]
        for name in idle:
            self._uploads.pop(name).path.unlink(missing_ok=True)

    def _on_get(self, vm: str, get: objects.StoreGet) -> objects.StorePiece:
        del vm
        size = min(max(get.size_bytes, 0), objects.PIECE_BYTES)
        found = self._find(get.name)
        if found is None or get.offset_bytes < 0:
            return objects.StorePiece("missing")
        try:
            with open(found.path, "rb") as file:
                file.seek(get.offset_bytes)
                left = max(found.size_bytes - get.offset_bytes, 0)
                data = file.read(min(size, left))
                file.seek(found.size_bytes)
                checksum = file.read(_DIGEST_BYTES).hex()
        except FileNotFoundError:
            return objects.StorePiece("missing")
        return objects.StorePiece(
            "ok", found.size_bytes, checksum, found.written_wall_s, data
        )

    def _on_retag(
        self, vm: str, retag: objects.StoreRetag
    ) -> objects.StoreReply:
        del vm
        self.retag(retag.name, retag.partner)
        return objects.StoreReply("ok")

    def _on_delete(
        self, vm: str, delete: objects.StoreDelete
    ) -> objects.StoreReply:
        del vm
        found = self._find(delete.name)
        if found is not None:
            found.path.unlink(missing_ok=True)
        return objects.StoreReply("ok")

    def _on_list(self, vm: str, ask: objects.StoreList) -> objects.StoreNames:
        del vm
        names = sorted(
            name
            for partner in self._partners()
            for name in _files(partner)
            if name.startswith(ask.prefix) and name > ask.after
        )
        count = min(max(ask.limit, 0), _MAX_NAMES)
        return objects.StoreNames(tuple(names[:count]))

    def _partners(self) -> list[pathlib.Path]:
        return [path for path in self._objects.iterdir() if path.is_dir()]

    def _path(self, name: str, partner: str) -> pathlib.Path:
        # Two hexadecimal digits keep each folder at some thousand files.
        shard = hashlib.sha256(name.encode()).hexdigest()[:2]
        file = name.replace("/", "+")
        return self._objects / (partner or _ALONE) / shard / file

    def _find(self, name: str) -> _Found | None:
        if not objects.is_name(name):
            return None
        for partner in self._partners():
            path = self._path(name, partner.name)
            try:
                info = path.stat()
            except FileNotFoundError:
                continue
            size = info.st_size - _DIGEST_BYTES
            return _Found(path, size, info.st_mtime)
        return None

    def _move(self, found: _Found, name: str, partner: str) -> None:
        target = self._path(name, partner)
        if found.path == target:
            return
        _make_synced(target.parent)
        with contextlib.suppress(FileNotFoundError):
            os.rename(found.path, target)
        _sync_folder(target.parent)


def _files(partner: pathlib.Path) -> Iterator[str]:
    for path in _paths(partner):
        yield path.name.replace("+", "/")


def _paths(partner: pathlib.Path) -> Iterator[pathlib.Path]:
    for shard in os.scandir(partner):
        # Read whole: files move while they are gone through.
        for name in os.listdir(shard.path):
            yield pathlib.Path(shard.path, name)


def _read_checksum(found: _Found) -> str:
    with open(found.path, "rb") as file:
        file.seek(found.size_bytes)
        return file.read(_DIGEST_BYTES).hex()


def _make_synced(folder: pathlib.Path) -> None:
    if folder.is_dir():
        return
    folder.mkdir(parents=True, exist_ok=True)
    _sync_folder(folder.parent)
    _sync_folder(folder.parent.parent)


def _sync_folder(folder: pathlib.Path) -> None:
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
