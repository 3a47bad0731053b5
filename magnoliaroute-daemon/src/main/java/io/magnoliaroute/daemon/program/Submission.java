package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.log.RecordId;
import io.vertx.core.Future;

/**
 * A record on its way to the log.
 *
 * @param id the record
 * @param applied completes when the record is read back; fails only where it was not taken
 */
public record Submission(RecordId id, Future<Applied> applied) {}
