"""Which engines may go on with an answer, by the version of their software."""

from magnoliatrail.ids import EngineId, RequestId
from magnoliatrail.membership.servers import ServerView
from magnoliatrail.requests import AnswerOrigin, RunVersion


def listed_run_version(
    servers: ServerView, engine: EngineId, run: RequestId
) -> RunVersion:
    """Return the version of a run at an engine, according to the list.

    Where the list names versions, engines without one may be of several.
    """
    listed = servers.software_version(engine)
    return RunVersion(only_run=run) if listed is None else RunVersion(listed)


def may_go_on(servers: ServerView, origin: AnswerOrigin, engine: EngineId) -> bool:
    """Return whether an engine may be asked to go on with an answer.

    The list alone does not prove that it has the version; the head of its answer may
    name another.
    """
    if origin.version is None:
        return True
    if origin.version.only_run or engine in origin.refused:
        return False
    listed = servers.software_version(engine)
    # An engine that the list gives no version may still name it in its answer.
    return listed == origin.version.name or (not listed and bool(origin.version.name))
