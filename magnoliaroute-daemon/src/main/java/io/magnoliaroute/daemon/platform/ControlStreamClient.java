package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.retry.Fingerprint;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.daemon.program.ControlLog;
import io.magnoliaroute.daemon.program.RetryGuard;
import io.magnoliaroute.daemon.slot.DrainingEndpoints;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;

/**
 * Client of the {@code control} stream: applies quarantines and endpoint drains of all VMs, and
 * appends those of this VM.
 */
public final class ControlStreamClient implements ControlLog {

  private static final String STREAM = "control";
  // Group owners must apply a drain within 3 s.
  private static final long POLL_INTERVAL_MS = 1_000;
  private static final int KIND_FIELD = 1;
  private static final int VALUE_FIELD = 2;
  private static final int UNTIL_FIELD = 3;
  private static final int KIND_REQUEST_QUARANTINED = 1;
  private static final int KIND_ENDPOINT_DRAINING = 2;
  private static final int KIND_ENDPOINT_RESUMED = 3;

  private final LogPort log;
  private final RetryGuard retryGuard;
  private final DrainingEndpoints drainingEndpoints;
  private final DaemonMetrics metrics;
  private final StreamReader reader;

  /** Creates a client that reads nothing before {@link #start}. */
  public ControlStreamClient(
      LogPort log,
      RetryGuard retryGuard,
      DrainingEndpoints drainingEndpoints,
      DaemonMetrics metrics) {
    this.log = log;
    this.retryGuard = retryGuard;
    this.drainingEndpoints = drainingEndpoints;
    this.metrics = metrics;
    this.reader = new StreamReader(log, STREAM, new RecordListener());
  }

  /** Reads the stream now and then polls it periodically. */
  public void start(Vertx vertx) {
    reader.readToEnd().onFailure(failure -> metrics.increment("control_read_failures"));
    vertx.setPeriodic(
        POLL_INTERVAL_MS,
        timer ->
            reader.readToEnd().onFailure(failure -> metrics.increment("control_read_failures")));
  }

  @Override
  public Future<Void> quarantine(Fingerprint request, long untilMs) {
    return append(
        new FieldWriter()
            .put(KIND_FIELD, KIND_REQUEST_QUARANTINED)
            .put(VALUE_FIELD, request.value())
            .put(UNTIL_FIELD, untilMs));
  }

  @Override
  public Future<Void> setDraining(EndpointId endpoint, boolean draining) {
    int kind = draining ? KIND_ENDPOINT_DRAINING : KIND_ENDPOINT_RESUMED;
    return append(new FieldWriter().put(KIND_FIELD, kind).put(VALUE_FIELD, endpoint.value()));
  }

  private Future<Void> append(FieldWriter fields) {
    return Future.fromCompletionStage(log.append(STREAM, List.of(fields.toBytes())))
        .compose(reader::readThrough)
        .onFailure(failure -> metrics.increment("control_append_failures"));
  }

  private void apply(Bytes payload) throws MalformedRecordException {
    FieldReader fields = FieldReader.of("control", payload);
    int kind = fields.nonNegativeInt(KIND_FIELD, "kind");
    String value = fields.string(VALUE_FIELD, "value");
    switch (kind) {
      case KIND_REQUEST_QUARANTINED ->
          retryGuard.applyQuarantined(
              new Fingerprint(value), fields.nonNegativeLong(UNTIL_FIELD, "until"));
      case KIND_ENDPOINT_DRAINING -> drainingEndpoints.setDraining(new EndpointId(value), true);
      case KIND_ENDPOINT_RESUMED -> drainingEndpoints.setDraining(new EndpointId(value), false);
      default -> metrics.increment("control_unknown_records");
    }
  }

  private final class RecordListener implements StreamReader.Listener {

    @Override
    public void onGap(long firstRetainedOffset) {
      metrics.increment("control_gaps");
    }

    @Override
    public void onEntries(List<LogEntry> entries) {
      for (LogEntry entry : entries) {
        try {
          apply(entry.payload());
        } catch (MalformedRecordException | IllegalArgumentException e) {
          metrics.increment("control_malformed_records");
        }
      }
    }

    @Override
    public void onEndReached() {
      // No state of this stream depends on reaching its end.
    }
  }
}
