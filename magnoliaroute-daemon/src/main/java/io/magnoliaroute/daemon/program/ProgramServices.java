package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.daemon.engine.EngineClient;
import io.magnoliaroute.daemon.engine.ServiceClient;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.settings.SettingsBoard;
import io.magnoliaroute.daemon.slot.Slots;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.random.RandomGenerator;

/**
 * What the orchestration of programs uses.
 *
 * @param vertx event loops and timers
 * @param clock the wall clock
 * @param random jitter and attempt numbers
 * @param dataCentre the data centre of this VM
 * @param settings the settings in force
 * @param partitions the partitions
 * @param slots slots at endpoints
 * @param engines the client of model engines
 * @param services the client of plain services
 * @param budgets the teams' budgets
 * @param retries retry budgets and quarantine
 * @param control the control stream
 * @param mirror where unlogged history is copied to
 * @param memory what is remembered of programs for better decisions
 * @param metrics counters and histograms
 */
public record ProgramServices(
    Vertx vertx,
    InstantSource clock,
    RandomGenerator random,
    DataCentreId dataCentre,
    SettingsBoard settings,
    Partitions partitions,
    Slots slots,
    EngineClient engines,
    ServiceClient services,
    BudgetGate budgets,
    RetryGuard retries,
    ControlLog control,
    HistoryMirror mirror,
    ProgramMemory memory,
    DaemonMetrics metrics) {

  /** Returns the wall-clock time. */
  long nowMs() {
    return clock.millis();
  }
}
