package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.EndpointSpec;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.core.schedule.WaitingCall;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.daemon.settings.ActiveSettings;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Schedules the slots of the groups that this VM owns. */
public final class LocalSlots implements Slots {

  // Short compared to the 50 ms that an urgent call may wait beyond one batch step.
  private static final long TICK_INTERVAL_MS = 10;

  private final InstantSource clock;
  private final ActiveSettings settings;
  private final DrainingEndpoints draining;
  private final Map<String, GroupHost> groups = new ConcurrentHashMap<>();

  /**
   * Creates the slots. The endpoints of the groups are updated whenever the settings or the
   * draining endpoints change.
   */
  public LocalSlots(
      Vertx vertx, InstantSource clock, ActiveSettings settings, DrainingEndpoints draining) {
    this.clock = clock;
    this.settings = settings;
    this.draining = draining;
    settings.addListener(snapshot -> refreshEndpoints());
    draining.addListener(this::refreshEndpoints);
    vertx.setPeriodic(TICK_INTERVAL_MS, tick -> tick());
  }

  /** Returns the name of the pool's group. At current pool sizes, each pool is a single group. */
  public static String groupOf(PoolSettings pool) {
    return pool.id().value() + "/0";
  }

  @Override
  public void request(String group, WaitingCall call, SlotListener listener) {
    group(group).offer(call, listener, clock.millis());
  }

  @Override
  public void observe(String group, CallId id, CallObservation observation) {
    group(group).observe(id, observation, clock.millis());
  }

  @Override
  public void release(String group, CallId id, CallResult result) {
    group(group).release(id, result, clock.millis());
  }

  @Override
  public void cancel(String group, CallId id) {
    group(group).cancel(id, clock.millis());
  }

  /** Restores a grant that was made by a previous owner of the group. */
  public void restore(String group, WaitingCall call, SlotGrant grant, SlotListener listener) {
    group(group).restore(call, grant, listener, clock.millis());
  }

  /** Removes the scheduling state of a program tree that has ended. */
  public void endProgram(ProgramId root) {
    long nowMs = clock.millis();
    groups.values().forEach(group -> group.endProgram(root, nowMs));
  }

  /** Returns the number of waiting calls by group. */
  public Map<String, Integer> waitingCounts() {
    Map<String, Integer> counts = new TreeMap<>();
    groups.forEach((name, host) -> counts.put(name, host.waitingCount()));
    return counts;
  }

  private GroupHost group(String name) {
    return groups.computeIfAbsent(name, this::createGroup);
  }

  private GroupHost createGroup(String name) {
    GroupHost host = new GroupHost();
    for (PoolSettings pool : settings.current().tree().pools().values()) {
      if (groupOf(pool).equals(name)) {
        host.putEndpoints(specs(pool));
      }
    }
    return host;
  }

  /**
   * Updates the endpoints of each group. Settings and drains change on different threads; without
   * synchronization the older of two updates could be applied last and undo a drain.
   */
  private synchronized void refreshEndpoints() {
    for (PoolSettings pool : settings.current().tree().pools().values()) {
      group(groupOf(pool)).putEndpoints(specs(pool));
    }
  }

  private List<EndpointSpec> specs(PoolSettings pool) {
    return pool.endpoints().stream().map(endpoint -> spec(pool, endpoint)).toList();
  }

  private EndpointSpec spec(PoolSettings pool, EndpointSettings endpoint) {
    int reserved = Math.min(endpoint.urgentReservedSlots(), endpoint.windowSlots() - 1);
    return new EndpointSpec(
        endpoint.id(),
        endpoint.dataCentre(),
        endpoint.windowSlots(),
        reserved,
        Set.copyOf(pool.models()),
        endpoint.draining() || draining.isDraining(endpoint.id()));
  }

  private void tick() {
    long nowMs = clock.millis();
    groups.values().forEach(group -> group.dispatch(nowMs));
  }
}
