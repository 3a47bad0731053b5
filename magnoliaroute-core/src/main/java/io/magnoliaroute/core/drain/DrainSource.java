package io.magnoliaroute.core.drain;

/** Who says that an endpoint is leaving. Each source ends its own drain by its own rule. */
public enum DrainSource {
  /** The operators' tree; ended by a newer version that does not drain the endpoint. */
  SETTINGS,
  /** A {@code control} record; ended by a later {@code EndpointResumed} record. */
  CONTROL,
  /** The platform's list; ended by a newer list that names the endpoint as staying. */
  PLATFORM,
  /**
   * The endpoint's own refusals; ended by an accepted call, by an {@code EndpointResumed} record,
   * or by time without a further refusal.
   */
  REFUSALS
}
