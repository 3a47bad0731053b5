package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.log.RecordId;
import io.vertx.core.Future;

/**
 * A record submitted to the log.
 *
 * @param id the id of the record, null if the record was not accepted for submission
 * @param result completes when the record is read back; fails only if the record was not accepted
 *     for submission
 */
public record Submission(RecordId id, Future<AppendResult> result) {}
