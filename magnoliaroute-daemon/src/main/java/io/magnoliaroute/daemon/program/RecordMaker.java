package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.program.ProgramRecord;

/** Makes a record from the id and epoch that it is written under. */
@FunctionalInterface
public interface RecordMaker {

  /** Returns the record. */
  ProgramRecord make(RecordId id, long epoch);
}
