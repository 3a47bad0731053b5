package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.program.ProgramRecord;

/** Factory for a record that is written under a given id and epoch. */
@FunctionalInterface
public interface RecordFactory {

  /** Returns the record for the id and epoch. */
  ProgramRecord create(RecordId id, long epoch);
}
