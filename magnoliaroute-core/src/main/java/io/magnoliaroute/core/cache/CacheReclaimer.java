package io.magnoliaroute.core.cache;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Compares what the engines of one endpoint group hold with the programs that live, and releases
 * what ended, cancelled and lapsed programs hold.
 *
 * <p>Engines say what they hold; only partition owners say whether a program lives. Memory is
 * released only where a partition owner has said that the program has ended, so that a late or
 * missing engine event cannot release the memory of a live program. Not safe for use by several
 * threads; the group owner keeps it under the lock of its endpoint group.
 */
public final class CacheReclaimer {

  private final CacheSettings settings;
  private final Map<EndpointId, EngineHoldings> engines = new HashMap<>();
  private final Map<ProgramId, Known> programs = new HashMap<>();

  private static final class Known {
    private ProgramStatus status;
    private long epoch = Long.MIN_VALUE;
    private long statusAtMs;
    private long askedAtMs = Long.MIN_VALUE;
  }

  /** Makes the reclaimer of a new group owner, which knows neither holdings nor programs. */
  public CacheReclaimer(CacheSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Adds an engine of the group; its listing is due at once. */
  public void addEndpoint(EndpointId endpoint) {
    engines.computeIfAbsent(endpoint, id -> new EngineHoldings());
  }

  /** Removes an engine that has left the group or has crashed, with what it held. */
  public void removeEndpoint(EndpointId endpoint) {
    engines.remove(endpoint);
  }

  /** Notes that a call of the program goes to the engine, whether its events arrive or not. */
  public void granted(EndpointId endpoint, ProgramId program) {
    holdings(endpoint).granted(program);
  }

  /**
   * Notes that a call has left the engine. A call that was cancelled may have stored memory after
   * the release for its program, so that the release is due again.
   */
  public void callEnded(EndpointId endpoint, ProgramId program) {
    if (isEnded(program) && engines.containsKey(endpoint)) {
      EngineHoldings holdings = holdings(endpoint);
      holdings.released(program);
      holdings.granted(program);
    }
  }

  /** Takes in an event of an engine; one of an engine outside the group is ignored. */
  public void onEvent(CacheEvent event) {
    EngineHoldings holdings = engines.get(event.endpoint());
    if (holdings != null) {
      holdings.apply(event);
    }
  }

  /** Takes in a listing that was requested after {@link #listingsDue} named the engine. */
  public void onListing(CacheListing listing) {
    EngineHoldings holdings = engines.get(listing.endpoint());
    if (holdings != null) {
      holdings.apply(listing);
    }
  }

  /**
   * Takes in what a partition owner says of a program. The highest claim epoch counts, and within
   * an epoch the end is final. A partition owner must have replayed its stream before it answers.
   */
  public void onStatus(ProgramId program, ProgramStatus status, long epoch, long nowMs) {
    Known known = programs.computeIfAbsent(program, id -> new Known());
    boolean older = epoch < known.epoch;
    boolean endedBefore = epoch == known.epoch && known.status == ProgramStatus.ENDED;
    if (older || endedBefore) {
      return;
    }
    known.status = status;
    known.epoch = epoch;
    known.statusAtMs = nowMs;
  }

  /** Takes in an engine's answer that it released the memory or holds none. */
  public void released(EndpointId endpoint, ProgramId program) {
    EngineHoldings holdings = engines.get(endpoint);
    if (holdings != null && isEnded(program)) {
      holdings.released(program);
    }
  }

  /** Returns the releases to send now; one without an answer is repeated. */
  public List<CacheRelease> poll(long nowMs) {
    List<CacheRelease> due = new ArrayList<>();
    for (Map.Entry<EndpointId, EngineHoldings> engine : engines.entrySet()) {
      for (ProgramId program : engine.getValue().copyOfPrograms()) {
        if (isEnded(program) && engine.getValue().takeReleaseDue(program, settings, nowMs)) {
          due.add(new CacheRelease(engine.getKey(), program));
        }
      }
    }
    return due;
  }

  /** Returns the engines to request a listing from now. */
  public List<EndpointId> listingsDue(long nowMs) {
    List<EndpointId> due = new ArrayList<>();
    for (Map.Entry<EndpointId, EngineHoldings> engine : engines.entrySet()) {
      if (engine.getValue().takeListingDue(settings, nowMs)) {
        due.add(engine.getKey());
      }
    }
    return due;
  }

  /** Returns the held programs whose partition owners must be asked for their status now. */
  public List<ProgramId> statusQueriesDue(long nowMs) {
    List<ProgramId> due = new ArrayList<>();
    for (ProgramId program : heldPrograms()) {
      Known known = programs.computeIfAbsent(program, id -> new Known());
      boolean asked =
          known.askedAtMs != Long.MIN_VALUE && nowMs - known.askedAtMs < settings.repeatMs();
      if (needsStatus(known, nowMs) && !asked) {
        known.askedAtMs = nowMs;
        due.add(program);
      }
    }
    return due;
  }

  /**
   * Asks again for the status of the programs that pass the filter. Used when their partition has a
   * new owner, as the earlier one may have ended them without telling this VM.
   */
  public void recheck(Predicate<ProgramId> filter) {
    programs
        .entrySet()
        .removeIf(
            entry -> entry.getValue().status == ProgramStatus.LIVE && filter.test(entry.getKey()));
  }

  /** Forgets programs that no engine holds, those that ended only after the retention. */
  public void expire(long nowMs) {
    Set<ProgramId> held = heldPrograms();
    programs
        .entrySet()
        .removeIf(entry -> !held.contains(entry.getKey()) && isForgotten(entry.getValue(), nowMs));
  }

  /** Returns how many programs an engine is believed to hold, for metrics. */
  public int heldCount(EndpointId endpoint) {
    EngineHoldings holdings = engines.get(endpoint);
    return holdings == null ? 0 : holdings.programs().size();
  }

  private boolean isForgotten(Known known, long nowMs) {
    return known.status != ProgramStatus.ENDED
        || nowMs - known.statusAtMs >= settings.endedRetentionMs();
  }

  private boolean needsStatus(Known known, long nowMs) {
    boolean live = known.status == ProgramStatus.LIVE;
    return known.status == null || (live && nowMs - known.statusAtMs >= settings.liveRecheckMs());
  }

  private boolean isEnded(ProgramId program) {
    Known known = programs.get(program);
    return known != null && known.status == ProgramStatus.ENDED;
  }

  private Set<ProgramId> heldPrograms() {
    Set<ProgramId> held = new LinkedHashSet<>();
    engines.values().forEach(holdings -> held.addAll(holdings.programs()));
    return held;
  }

  private EngineHoldings holdings(EndpointId endpoint) {
    return engines.computeIfAbsent(endpoint, id -> new EngineHoldings());
  }
}
