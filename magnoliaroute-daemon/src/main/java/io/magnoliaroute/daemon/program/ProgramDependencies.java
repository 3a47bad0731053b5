package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.daemon.engine.EngineClient;
import io.magnoliaroute.daemon.engine.ServiceClient;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.settings.ActiveSettings;
import io.magnoliaroute.daemon.slot.Slots;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.random.RandomGenerator;

/**
 * Dependencies of program execution.
 *
 * @param vertx event loops and timers
 * @param clock the wall clock
 * @param random source of jitter and attempt numbers
 * @param dataCentre the data centre of this VM
 * @param settings the active settings
 * @param partitions the partitions of the program log
 * @param slots requests and releases slots at endpoints
 * @param engineClient the client of model engines
 * @param serviceClient the client of plain services
 * @param budgets the teams' budgets
 * @param retries retry budgets and quarantine
 * @param controlLog appends to the control stream
 * @param historyMirror sends copies of unlogged history to a peer
 * @param hints scheduling hints per program
 * @param metrics counters and histograms
 */
public record ProgramDependencies(
    Vertx vertx,
    InstantSource clock,
    RandomGenerator random,
    DataCentreId dataCentre,
    ActiveSettings settings,
    Partitions partitions,
    Slots slots,
    EngineClient engineClient,
    ServiceClient serviceClient,
    BudgetReservations budgets,
    RetryGuard retries,
    ControlLog controlLog,
    HistoryMirror historyMirror,
    ProgramHints hints,
    DaemonMetrics metrics) {

  /** Returns the wall-clock time in milliseconds since the epoch. */
  long nowMs() {
    return clock.millis();
  }
}
