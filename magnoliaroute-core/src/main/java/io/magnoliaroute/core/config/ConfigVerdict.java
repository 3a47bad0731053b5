package io.magnoliaroute.core.config;

import io.magnoliaroute.core.settings.Finding;
import java.util.List;

/**
 * The result of applying a config record in log order; the same on every VM.
 *
 * @param kind the kind of result
 * @param version the version of the branch after a publication, or that of the first append for a
 *     duplicate; the highest logged version after a snapshot; {@link ConfigState#ABSENT_VERSION} if
 *     there is none, the record was deferred or its offset was already read
 * @param findings the findings of the validation of the content
 */
public record ConfigVerdict(Kind kind, long version, List<Finding> findings) {

  /** Copies the findings. */
  public ConfigVerdict {
    findings = List.copyOf(findings);
  }

  /** Returns whether the record took effect, by this append or an earlier one. */
  public boolean isAccepted() {
    return kind == Kind.ACCEPTED || kind == Kind.DUPLICATE;
  }

  /** The kinds of result. */
  public enum Kind {
    /** The record took effect. */
    ACCEPTED,
    /**
     * An earlier append of the same record took effect; the version is that of the first append.
     */
    DUPLICATE,
    /** The base version is not the current version of the branch, which is returned. */
    CONFLICT,
    /** The content has errors; the previous version remains current. */
    INVALID,
    /** A snapshot contained no newer version, or the offset was already read. */
    NOT_NEEDED,
    /**
     * The reader has not reached the end of the stream; the record is decided by {@link
     * ConfigState#markCaughtUp}.
     */
    DEFERRED
  }
}
