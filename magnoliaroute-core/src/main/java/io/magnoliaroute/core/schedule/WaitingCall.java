package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.UrgentRation;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Request of a call for a slot. It carries everything that the scheduling decision needs, so that a
 * new group owner can decide without prior state.
 *
 * @param id the id of the call
 * @param rootProgram the root of the program tree that the call belongs to
 * @param team the team of the program
 * @param teamShare the weight of the team in the sharing of capacity, at least 1
 * @param urgentRation the rate limit of urgent calls of the team
 * @param priority the priority class that the program requested
 * @param dataCentre the data centre in which the partition owner of the call runs
 * @param arrivedMs the arrival time of the call
 * @param deadlineMs the absolute deadline of the whole program
 * @param promptTokens tokens of the prompt including the history
 * @param cachedPrefixTokens prompt tokens expected in the prefix cache of each endpoint
 * @param avoidedEndpoints endpoints that aborted an earlier attempt; used only if no other endpoint
 *     can run the call
 * @param attainedServiceUnits service attained by the program tree, in {@link ServiceUnits}
 * @param underWay whether an earlier call of the program was accepted
 * @param model the model that the call needs; empty for a plain service
 * @param idempotent whether the call may run twice
 * @param remainingServiceUnits the remaining service of the program, used by the clairvoyant
 *     baseline only; 0 if unknown
 */
public record WaitingCall(
    CallId id,
    ProgramId rootProgram,
    TeamId team,
    int teamShare,
    UrgentRation urgentRation,
    PriorityClass priority,
    DataCentreId dataCentre,
    long arrivedMs,
    long deadlineMs,
    int promptTokens,
    Map<EndpointId, Integer> cachedPrefixTokens,
    Set<EndpointId> avoidedEndpoints,
    long attainedServiceUnits,
    boolean underWay,
    String model,
    boolean idempotent,
    long remainingServiceUnits) {

  private static final UrgentRation NO_RATION = new UrgentRation(0, 0);

  /** Rejects null components and numbers out of range. */
  public WaitingCall {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(rootProgram, "rootProgram");
    Objects.requireNonNull(team, "team");
    Objects.requireNonNull(urgentRation, "urgentRation");
    Objects.requireNonNull(priority, "priority");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(model, "model");
    if (teamShare < 1) {
      throw new IllegalArgumentException("teamShare must be positive, was " + teamShare);
    }
    if (promptTokens < 0) {
      throw new IllegalArgumentException("promptTokens must not be negative, was " + promptTokens);
    }
    if (attainedServiceUnits < 0) {
      throw new IllegalArgumentException(
          "attainedServiceUnits must not be negative, was " + attainedServiceUnits);
    }
    cachedPrefixTokens = Map.copyOf(cachedPrefixTokens);
    // VMs of earlier releases do not send this field.
    avoidedEndpoints = avoidedEndpoints == null ? Set.of() : Set.copyOf(avoidedEndpoints);
  }

  /** Returns a builder with the program of the call as its root program. */
  public static Builder builder(CallId id, TeamId team, DataCentreId dataCentre) {
    return new Builder(id, team, dataCentre);
  }

  /** Returns the prompt tokens expected in the prefix cache of the endpoint. */
  public int cachedPrefixTokensAt(EndpointId endpoint) {
    return Math.min(promptTokens, cachedPrefixTokens.getOrDefault(endpoint, 0));
  }

  /** Builder of calls. Each setter documents the default of its value. */
  public static final class Builder {

    private final CallId id;
    private final TeamId team;
    private final DataCentreId dataCentre;
    private ProgramId rootProgram;
    private int teamShare = 1;
    private UrgentRation urgentRation = NO_RATION;
    private PriorityClass priority = PriorityClass.NORMAL;
    private long arrivedMs;
    private long deadlineMs = Long.MAX_VALUE;
    private int promptTokens;
    private Map<EndpointId, Integer> cachedPrefixTokens = Map.of();
    private Set<EndpointId> avoidedEndpoints = Set.of();
    private long attainedServiceUnits;
    private boolean underWay;
    private String model = "";
    private boolean idempotent;
    private long remainingServiceUnits;

    private Builder(CallId id, TeamId team, DataCentreId dataCentre) {
      this.id = id;
      this.team = team;
      this.dataCentre = dataCentre;
      this.rootProgram = id.program();
    }

    /** Sets the root of the program tree; default: the program of the call. */
    public Builder rootProgram(ProgramId value) {
      rootProgram = value;
      return this;
    }

    /** Sets the weight of the team; default: 1. */
    public Builder teamShare(int value) {
      teamShare = value;
      return this;
    }

    /**
     * Sets the rate limit of urgent calls of the team; default: 0, so that urgent calls are
     * demoted.
     */
    public Builder urgentRation(UrgentRation value) {
      urgentRation = value;
      return this;
    }

    /** Sets the priority class; default: normal. */
    public Builder priority(PriorityClass value) {
      priority = value;
      return this;
    }

    /** Sets the arrival time and the absolute deadline; default: 0 and no deadline. */
    public Builder times(long newArrivedMs, long newDeadlineMs) {
      arrivedMs = newArrivedMs;
      deadlineMs = newDeadlineMs;
      return this;
    }

    /**
     * Sets the prompt tokens and how many of them each endpoint is expected to have cached;
     * default: none.
     */
    public Builder prompt(int tokens, Map<EndpointId, Integer> cachedTokens) {
      promptTokens = tokens;
      cachedPrefixTokens = cachedTokens;
      return this;
    }

    /** Sets the endpoints that aborted an earlier attempt; default: none. */
    public Builder avoidedEndpoints(Set<EndpointId> value) {
      avoidedEndpoints = value;
      return this;
    }

    /** Sets the service attained by the program tree; default: 0. */
    public Builder attainedServiceUnits(long value) {
      attainedServiceUnits = value;
      return this;
    }

    /** Sets whether an earlier call of the program was accepted; default: false. */
    public Builder underWay(boolean value) {
      underWay = value;
      return this;
    }

    /** Sets the model; default: empty, for a plain service. */
    public Builder model(String value) {
      model = value;
      return this;
    }

    /** Sets whether the call may run twice; default: false. */
    public Builder idempotent(boolean value) {
      idempotent = value;
      return this;
    }

    /**
     * Sets the remaining service of the program, used by the clairvoyant baseline only; default: 0.
     */
    public Builder remainingServiceUnits(long value) {
      remainingServiceUnits = value;
      return this;
    }

    /** Returns a new call with the values set. */
    public WaitingCall build() {
      return new WaitingCall(
          id,
          rootProgram,
          team,
          teamShare,
          urgentRation,
          priority,
          dataCentre,
          arrivedMs,
          deadlineMs,
          promptTokens,
          cachedPrefixTokens,
          avoidedEndpoints,
          attainedServiceUnits,
          underWay,
          model,
          idempotent,
          remainingServiceUnits);
    }
  }
}
