"""Claims of jobs: a VM's right to run one, a key under its lease."""

import result

from gateway import dialect as dialect_lib
from gateway import joblisting
from gateway import jobmessages
from gateway import jobrecords
from gateway import jobstate
from gateway import jobstore
from gateway import members

_READ_TIMEOUT_S = 1.0


class Claims:
    """Claims jobs for this VM under its lease."""

    def __init__(
        self,
        store: dialect_lib.Store,
        job_store: jobstore.JobStore,
        vms: members.Members,
    ) -> None:
        self._store = store
        self._job_store = job_store
        self._members = vms
        self._vm = vms.own_vm().vm

    def take(
        self, job: str
    ) -> result.Result[jobstate.HeldClaim, jobmessages.JobError]:
        """Claims an open job that no VM has claimed.

        Returns:
            The claim, also if this VM holds it already, or an error:
            `missing` if the job is not open or another VM has claimed it,
            `unavailable` or `unknown` if the store failed or this VM has no
            lease.
        """
        keys, lease = self._job_store.keys, self._members.lease()
        if not lease:
            return result.Err(jobmessages.JobError("unavailable", "no lease"))
        opened = self._store.get(keys.open_job(job), _READ_TIMEOUT_S)
        if opened.is_err():
            message = opened.unwrap_err().message
            return result.Err(jobmessages.JobError("unavailable", message))
        entry = opened.unwrap()
        if entry is None:
            return result.Err(jobmessages.JobError("missing", "not open"))
        made = self._job_store.commit(
            (
                dialect_lib.RevisionCondition(keys.claim(job), 0),
                dialect_lib.RevisionCondition(
                    keys.open_job(job), entry.revision
                ),
            ),
            (self._claim_write(job, lease),),
            (),
        )
        if isinstance(made, result.Err):
            return made
        if isinstance(made.ok_value, dialect_lib.Conflict):
            return self._read_own_claim(job)
        return result.Ok(jobstate.HeldClaim(made.ok_value, lease))

    def take_again(
        self, state: jobstate.JobState
    ) -> result.Result[None, jobmessages.JobError]:
        """Claims a job that this VM runs, after its claim has ended.

        The caller holds the state's `list_lock`.

        Returns:
            An error as that of `take`; `missing` too if another VM has run
            the job meanwhile.
        """
        claimed = self.take(state.meta.job)
        if isinstance(claimed, result.Err):
            return claimed
        listed = self._job_store.read_results(state.meta.job)
        if isinstance(listed, result.Err):
            return listed
        if len(listed.ok_value) != state.next_position:
            # That VM has released its claim. The next scan loads the job with
            # its results.
            return result.Err(
                jobmessages.JobError("missing", "another VM has listed results")
            )
        state.claim = claimed.ok_value
        return result.Ok(None)

    def renew(self, claim: joblisting.ClaimRow) -> jobstate.HeldClaim | None:
        """Rewrites a claim of this VM under its current lease.

        Returns:
            The new claim; `None` if the claim has changed or the store failed.
        """
        key, lease = (
            self._job_store.keys.claim(claim.job),
            self._members.lease(),
        )
        made = self._job_store.commit(
            (dialect_lib.RevisionCondition(key, claim.revision),),
            (self._claim_write(claim.job, lease),),
            (),
        )
        if isinstance(made, result.Ok) and isinstance(made.ok_value, int):
            return jobstate.HeldClaim(made.ok_value, lease)
        return None

    def _claim_write(self, job: str, lease: int) -> dialect_lib.Write:
        claim = jobrecords.pack(jobrecords.Claim(self._vm))
        return dialect_lib.Write(self._job_store.keys.claim(job), claim, lease)

    def _read_own_claim(
        self, job: str
    ) -> result.Result[jobstate.HeldClaim, jobmessages.JobError]:
        """Returns this VM's claim if an earlier write of it went unanswered."""
        got = self._store.get(self._job_store.keys.claim(job), _READ_TIMEOUT_S)
        if got.is_err():
            message = got.unwrap_err().message
            return result.Err(jobmessages.JobError("unavailable", message))
        entry = got.unwrap()
        if entry is None or entry.value is None:
            return result.Err(jobmessages.JobError("missing", "not claimed"))
        if not jobrecords.is_held_by(entry.value, self._vm):
            return result.Err(
                jobmessages.JobError("missing", "claimed elsewhere")
            )
        return result.Ok(jobstate.HeldClaim(entry.revision))
