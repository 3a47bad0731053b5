package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import java.util.List;

/**
 * Budget units reserved for a call before it starts.
 *
 * @param id the number of the reservation, unique within a holder
 * @param team the team that is charged
 * @param period the period that is charged, even if the call ends in a later one
 * @param parts the slices that the units come from
 */
public record Reservation(long id, TeamId team, BudgetPeriod period, List<Part> parts) {

  /** Makes a defensive copy of the parts. */
  public Reservation {
    parts = List.copyOf(parts);
  }

  /** Returns the total number of reserved units. */
  public long units() {
    return parts.stream().mapToLong(Part::units).sum();
  }

  /**
   * The units reserved from one slice.
   *
   * @param slice the id of the slice
   * @param units the number of units
   */
  public record Part(String slice, long units) {}
}
