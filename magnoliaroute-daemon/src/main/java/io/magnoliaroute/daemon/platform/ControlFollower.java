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
public final class ControlFollower implements ControlLog {

  private static final String STREAM = "control";
  // Group owners must apply a drain within 3 s.
  private static final long POLL_MS = 1_000;
  private static final int KIND = 1;
  private static final int VALUE = 2;
  private static final int UNTIL = 3;
  private static final int REQUEST_QUARANTINED = 1;
  private static final int ENDPOINT_DRAINING = 2;
  private static final int ENDPOINT_RESUMED = 3;

  private final LogPort log;
  private final RetryGuard retries;
  private final DrainingEndpoints draining;
  private final DaemonMetrics metrics;
  private final StreamTail tail;

  /** Creates a client that reads nothing before {@link #start}. */
  public ControlFollower(
      LogPort log, RetryGuard retries, DrainingEndpoints draining, DaemonMetrics metrics) {
    this.log = log;
    this.retries = retries;
    this.draining = draining;
    this.metrics = metrics;
    this.tail = new StreamTail(log, STREAM, new Records());
  }

  /** Reads the stream now and then polls it periodically. */
  public void start(Vertx vertx) {
    tail.readToEnd().onFailure(failure -> metrics.count("control_read_failures"));
    vertx.setPeriodic(
        POLL_MS,
        timer -> tail.readToEnd().onFailure(failure -> metrics.count("control_read_failures")));
  }

  @Override
  public Future<Void> quarantine(Fingerprint request, long untilMs) {
    return append(
        new FieldWriter()
            .put(KIND, REQUEST_QUARANTINED)
            .put(VALUE, request.value())
            .put(UNTIL, untilMs));
  }

  @Override
  public Future<Void> drain(EndpointId endpoint, boolean nowDraining) {
    int kind = nowDraining ? ENDPOINT_DRAINING : ENDPOINT_RESUMED;
    return append(new FieldWriter().put(KIND, kind).put(VALUE, endpoint.value()));
  }

  private Future<Void> append(FieldWriter fields) {
    return Future.fromCompletionStage(log.append(STREAM, List.of(fields.toBytes())))
        .compose(tail::readThrough)
        .onFailure(failure -> metrics.count("control_append_failures"));
  }

  private void apply(Bytes payload) throws MalformedRecordException {
    FieldReader fields = FieldReader.of("control", payload);
    int kind = fields.nonNegativeInt(KIND, "kind");
    String value = fields.string(VALUE, "value");
    switch (kind) {
      case REQUEST_QUARANTINED ->
          retries.applyQuarantined(new Fingerprint(value), fields.nonNegativeLong(UNTIL, "until"));
      case ENDPOINT_DRAINING -> draining.setDraining(new EndpointId(value), true);
      case ENDPOINT_RESUMED -> draining.setDraining(new EndpointId(value), false);
      default -> metrics.count("control_unknown_records");
    }
  }

  private final class Records implements StreamTail.Reader {

    @Override
    public void gap(long firstRetainedOffset) {
      metrics.count("control_gaps");
    }

    @Override
    public void entries(List<LogEntry> entries) {
      for (LogEntry entry : entries) {
        try {
          apply(entry.payload());
        } catch (MalformedRecordException | IllegalArgumentException e) {
          metrics.count("control_malformed_records");
        }
      }
    }

    @Override
    public void tip() {
      // No state of this stream depends on reaching its end.
    }
  }
}
