package io.magnoliaroute.core.config;

import io.magnoliaroute.core.settings.BranchName;
import java.util.List;
import java.util.Optional;

/** A record of the {@code config} stream. */
public sealed interface ConfigRecord {

  /** Returns the id of the record, which is the same for repeated appends. */
  String recordId();

  /**
   * Creates, replaces or deletes one branch.
   *
   * @param recordId the id of the record
   * @param branch the branch
   * @param baseVersion the version that the change is based on, {@link ConfigState#ABSENT_VERSION}
   *     for a branch that never existed
   * @param content the YAML, or empty to delete the branch
   * @param author the operator who published the change
   * @param timeMs the time of publication
   */
  record Published(
      String recordId,
      BranchName branch,
      long baseVersion,
      Optional<String> content,
      String author,
      long timeMs)
      implements ConfigRecord {}

  /**
   * A snapshot of branches, so that they remain available when their records expire from the log.
   *
   * @param recordId the id of the record
   * @param timeMs the time at which the snapshot was created
   * @param asOfOffset the offset of the last record of the stream that the entries reflect
   * @param entries the branches with the offsets at which they took effect
   */
  record Snapshot(String recordId, long timeMs, long asOfOffset, List<BranchEntry> entries)
      implements ConfigRecord {

    /** Copies the entries. */
    public Snapshot {
      entries = List.copyOf(entries);
    }
  }
}
