package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import java.util.List;

/**
 * Units set aside for one call before it starts.
 *
 * @param id the number of the reservation, unique for one holder
 * @param team the team that pays
 * @param period the period that is charged, also when the call ends in a later one
 * @param parts the slices that the units come from
 */
public record Reservation(long id, TeamId team, BudgetPeriod period, List<Part> parts) {

  /** Copies the parts. */
  public Reservation {
    parts = List.copyOf(parts);
  }

  /** Returns the sum of the parts. */
  public long units() {
    return parts.stream().mapToLong(Part::units).sum();
  }

  /**
   * The units taken from one slice.
   *
   * @param slice the slice
   * @param units the units
   */
  public record Part(String slice, long units) {}
}
