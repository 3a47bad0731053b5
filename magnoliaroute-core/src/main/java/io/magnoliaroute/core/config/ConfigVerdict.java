package io.magnoliaroute.core.config;

import io.magnoliaroute.core.settings.Finding;
import java.util.List;

/**
 * What the log order decided about a config record; equal on every VM.
 *
 * @param kind the decision
 * @param version the version in force after the record, or {@link ConfigState#ABSENT_VERSION}
 * @param findings what was found in the content
 */
public record ConfigVerdict(Kind kind, long version, List<Finding> findings) {

  /** Copies the findings. */
  public ConfigVerdict {
    findings = List.copyOf(findings);
  }

  /** Returns whether the record is in force, by this append or an earlier one. */
  public boolean accepted() {
    return kind == Kind.ACCEPTED || kind == Kind.DUPLICATE;
  }

  /** The decisions. */
  public enum Kind {
    /** The record took effect. */
    ACCEPTED,
    /** An append of the same record took effect before; the version is that of the first. */
    DUPLICATE,
    /** The branch had another version than the base; the version is the one it has. */
    CONFLICT,
    /** The content has errors; the earlier version stays in force. */
    INVALID,
    /** A snapshot had nothing newer than what is known, or the offset was read before. */
    NOT_NEEDED,
    /** The reader has not reached the end of the stream; {@link ConfigState#reachedTip} decides. */
    DEFERRED
  }
}
