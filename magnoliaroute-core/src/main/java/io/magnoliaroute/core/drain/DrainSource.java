package io.magnoliaroute.core.drain;

/** The source of an endpoint drain. Each source has its own rule for when its drain ends. */
public enum DrainSource {
  /** The operators' settings; ended by a newer version that does not drain the endpoint. */
  SETTINGS,
  /** A {@code control} record; ended by a later {@code EndpointResumed} record. */
  CONTROL,
  /** The platform's endpoint list; ended by a newer list that marks the endpoint as staying. */
  PLATFORM,
  /**
   * Refusals by the endpoint itself; ended by an accepted call, by an {@code EndpointResumed}
   * record, or by a period without further refusals.
   */
  REFUSALS
}
