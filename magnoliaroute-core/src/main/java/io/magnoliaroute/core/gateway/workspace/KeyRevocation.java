package io.magnoliaroute.core.gateway.workspace;

/**
 * How long a VM accepts keys whose withdrawal it might have missed.
 *
 * @param strict whether keys are refused once the configuration has not been confirmed for {@code
 *     limitMs}; if not, they are accepted as last known
 * @param limitMs the time since the last confirmation of the configuration
 */
public record KeyRevocation(boolean strict, long limitMs) {

  /** The rule that the platform sets unless its settings name another one. */
  public static final KeyRevocation DEFAULT = new KeyRevocation(false, 5_000);
}
