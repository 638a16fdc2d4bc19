"""The bulk store of a VM with a disk: immutable objects in one folder.

Each object is one file: its data followed by the 32-byte SHA-256 of the data.
The file is in a folder named after the VM that holds the other copy. When that
VM is lost, listing this folder gives the objects to copy again, without an
index.
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
# The folder of the objects that have no other copy.
_NO_PARTNER = "+"


class _Upload(NamedTuple):
    """An object of which some pieces have arrived.

    Attributes:
        path: The file that the pieces are appended to.
        digest: The running SHA-256 of the pieces.
        written_bytes: The length of the pieces written so far.
        last_piece_s: Monotonic time of the last piece.
    """

    path: pathlib.Path
    digest: Any
    written_bytes: int
    last_piece_s: float


class _ObjectFile(NamedTuple):
    """An object's file, and the object's length without the checksum."""

    path: pathlib.Path
    size_bytes: int
    written_wall_s: float


class StoredObject(NamedTuple):
    """An object's content and when it was first written."""

    data: bytes
    written_wall_s: float


class DiskStore:
    """Stores immutable objects under the data folder, for all VMs."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._folder = pathlib.Path(settings.data_folder)
        self._objects_folder = self._folder / "objects"
        self._incoming_folder = self._folder / "incoming"
        self._lock = threading.Lock()
        self._uploads: dict[str, _Upload] = {}
        self._puts = 0

    def start(self) -> None:
        """Creates the folders, deletes unfinished writes and adds handlers."""
        self._objects_folder.mkdir(parents=True, exist_ok=True)
        self._incoming_folder.mkdir(parents=True, exist_ok=True)
        for path in self._incoming_folder.iterdir():
            path.unlink()
        peers = self._kernel.find(services.PEERS, services.Peers)
        peers.register_handler(objects.StorePut, self._on_put)
        peers.register_handler(objects.StoreGet, self._on_get)
        peers.register_handler(objects.StoreRetag, self._on_retag)
        peers.register_handler(objects.StoreDelete, self._on_delete)
        peers.register_handler(objects.StoreList, self._on_list)

    def stop(self, grace_s: float) -> None:
        """Does nothing: every acknowledged write is already on the disk."""
        del grace_s

    def dump(self) -> Any:
        """Returns the number of objects by partner, open uploads and writes."""
        partners = {
            partner.name: sum(1 for _ in _names_in(partner))
            for partner in self._partner_folders()
        }
        return {
            "objects_by_partner": partners,
            "open_uploads": len(self._uploads),
            "puts": self._puts,
        }

    def partners(self) -> list[str]:
        """Returns the VMs that hold the other copies.

        An empty name means that there are objects without another copy.
        """
        names = [path.name for path in self._partner_folders()]
        return ["" if name == _NO_PARTNER else name for name in names]

    def names_by_partner(self, partner: str) -> Iterator[str]:
        """Yields the names of the objects whose other copy is on a VM.

        Args:
            partner: The VM; empty for the objects without another copy.
        """
        folder = self._objects_folder / (partner or _NO_PARTNER)
        if folder.is_dir():
            yield from _names_in(folder)

    def read(self, name: str) -> StoredObject | None:
        """Returns an object, or `None` if it is missing or damaged."""
        found = self._find(name)
        if found is None:
            return None
        content = found.path.read_bytes()
        data, digest = content[:-_DIGEST_BYTES], content[-_DIGEST_BYTES:]
        if hashlib.sha256(data).digest() != digest:
            _log.error("Object %s is damaged.", name)
            return None
        return StoredObject(data, found.written_wall_s)

    def retag(self, name: str, partner: str) -> None:
        """Records that another VM now holds the other copy of an object."""
        found = self._find(name)
        if found is not None:
            self._move(found, name, partner)

    def expire(self, before_wall_s: float) -> int:
        """Deletes objects written before a time; returns their number."""
        count = 0
        for partner in self._partner_folders():
            for path in _paths_in(partner):
                with contextlib.suppress(FileNotFoundError):
                    if path.stat().st_mtime < before_wall_s:
                        path.unlink()
                        count += 1
        return count

    def _on_put(self, vm: str, put: objects.StorePut) -> objects.StoreReply:
        del vm
        if not objects.is_valid_name(put.name) or not put.upload.isalnum():
            return objects.StoreReply("broken", "not a name")
        existing = self._find(put.name)
        if existing is not None:
            return self._put_existing(existing, put)
        try:
            return self._add_piece(put)
        except OSError as error:
            self._discard_upload(put.upload)
            _log.warning("Cannot write %s: %s.", put.name, error)
            is_full = error.errno in (errno.ENOSPC, errno.EDQUOT)
            return objects.StoreReply("full" if is_full else "broken", "disk")

    def _put_existing(
        self, existing: _ObjectFile, put: objects.StorePut
    ) -> objects.StoreReply:
        # The answer to an earlier write was lost, or a writer that lost its
        # claim writes late. The same content is accepted; different content is
        # refused, because a reader may have read the stored one.
        self._discard_upload(put.upload)
        if _read_checksum(existing) != put.checksum:
            return objects.StoreReply("fenced", "held with other content")
        self._move(existing, put.name, put.partner)
        return objects.StoreReply("ok", "held")

    def _add_piece(self, put: objects.StorePut) -> objects.StoreReply:
        upload = self._find_upload(put)
        if upload is None:
            why = "pieces out of order, or too many uploads"
            return objects.StoreReply("broken", why)
        with open(upload.path, "ab") as file:
            file.write(put.data)
            upload.digest.update(put.data)
            written_bytes = upload.written_bytes + len(put.data)
            if written_bytes < put.size_bytes:
                self._save_upload(
                    put.upload, upload._replace(written_bytes=written_bytes)
                )
                return objects.StoreReply("ok")
            if upload.digest.hexdigest() != put.checksum:
                self._discard_upload(put.upload)
                return objects.StoreReply("broken", "checksum")
            file.write(upload.digest.digest())
            file.flush()
            os.utime(file.fileno(), (put.written_wall_s, put.written_wall_s))
            os.fsync(file.fileno())
        self._publish(put, upload)
        return objects.StoreReply("ok")

    def _publish(self, put: objects.StorePut, upload: _Upload) -> None:
        # The file is synced before the rename, and the folder before the
        # answer: after a crash there is the whole object or none, and an
        # acknowledged object survives a power cut.
        target = self._path(put.name, put.partner)
        _create_synced_folder(target.parent)
        os.rename(upload.path, target)
        _sync_folder(target.parent)
        with self._lock:
            self._uploads.pop(put.upload, None)
            self._puts += 1

    def _find_upload(self, put: objects.StorePut) -> _Upload | None:
        with self._lock:
            upload = self._uploads.get(put.upload)
            if upload is None and put.offset_bytes == 0:
                self._discard_idle_uploads()
                if len(self._uploads) >= _MAX_UPLOADS:
                    return None
                return _Upload(
                    self._incoming_folder / put.upload, hashlib.sha256(), 0, 0.0
                )
        if upload is None or upload.written_bytes != put.offset_bytes:
            return None
        return upload

    def _save_upload(self, name: str, upload: _Upload) -> None:
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._uploads[name] = upload._replace(last_piece_s=now_s)

    def _discard_upload(self, name: str) -> None:
        with self._lock:
            self._uploads.pop(name, None)
        with contextlib.suppress(OSError):
            (self._incoming_folder / name).unlink(missing_ok=True)

    def _discard_idle_uploads(self) -> None:
        # The pieces of a writer that died would otherwise accumulate.
        limit_s = self._clock.monotonic_s() - _UPLOAD_IDLE_S
        idle = [
            name
            for name, upload in self._uploads.items()
            if upload.last_piece_s < limit_s
        ]
        for name in idle:
            self._uploads.pop(name).path.unlink(missing_ok=True)

    def _on_get(self, vm: str, get: objects.StoreGet) -> objects.StorePiece:
        del vm
        limit_bytes = min(max(get.size_bytes, 0), objects.PIECE_BYTES)
        found = self._find(get.name)
        if found is None or get.offset_bytes < 0:
            return objects.StorePiece("missing")
        try:
            with open(found.path, "rb") as file:
                file.seek(get.offset_bytes)
                remaining_bytes = max(found.size_bytes - get.offset_bytes, 0)
                data = file.read(min(limit_bytes, remaining_bytes))
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

    def _on_list(self, vm: str, query: objects.StoreList) -> objects.StoreNames:
        del vm
        names = sorted(
            name
            for partner in self._partner_folders()
            for name in _names_in(partner)
            if name.startswith(query.prefix) and name > query.after
        )
        count = min(max(query.limit, 0), _MAX_NAMES)
        return objects.StoreNames(tuple(names[:count]))

    def _partner_folders(self) -> list[pathlib.Path]:
        return [
            path for path in self._objects_folder.iterdir() if path.is_dir()
        ]

    def _path(self, name: str, partner: str) -> pathlib.Path:
        # Two hexadecimal digits give 256 shards, which keeps each folder at a
        # few thousand files.
        shard = hashlib.sha256(name.encode()).hexdigest()[:2]
        file = name.replace("/", "+")
        return self._objects_folder / (partner or _NO_PARTNER) / shard / file

    def _find(self, name: str) -> _ObjectFile | None:
        if not objects.is_valid_name(name):
            return None
        for partner in self._partner_folders():
            path = self._path(name, partner.name)
            try:
                info = path.stat()
            except FileNotFoundError:
                continue
            size_bytes = info.st_size - _DIGEST_BYTES
            return _ObjectFile(path, size_bytes, info.st_mtime)
        return None

    def _move(self, found: _ObjectFile, name: str, partner: str) -> None:
        target = self._path(name, partner)
        if found.path == target:
            return
        _create_synced_folder(target.parent)
        with contextlib.suppress(FileNotFoundError):
            os.rename(found.path, target)
        _sync_folder(target.parent)


def _names_in(partner: pathlib.Path) -> Iterator[str]:
    for path in _paths_in(partner):
        yield path.name.replace("+", "/")


def _paths_in(partner: pathlib.Path) -> Iterator[pathlib.Path]:
    for shard in os.scandir(partner):
        # `listdir` reads the whole shard first, because the caller may move
        # files out of it during the iteration.
        for name in os.listdir(shard.path):
            yield pathlib.Path(shard.path, name)


def _read_checksum(found: _ObjectFile) -> str:
    with open(found.path, "rb") as file:
        file.seek(found.size_bytes)
        return file.read(_DIGEST_BYTES).hex()


def _create_synced_folder(folder: pathlib.Path) -> None:
    if folder.is_dir():
        return
    folder.mkdir(parents=True, exist_ok=True)
    _sync_folder(folder.parent)
    _sync_folder(folder.parent.parent)


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
