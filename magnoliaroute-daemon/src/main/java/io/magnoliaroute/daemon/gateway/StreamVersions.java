package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.RequestMetadata;
import io.magnoliaroute.core.gateway.ServiceVersion;
import io.magnoliaroute.core.gateway.ServiceVersions;
import io.magnoliaroute.core.gateway.StreamVersionIndex;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreClient.KeyValue;
import io.magnoliaroute.platform.StoreException;
import io.magnoliaroute.platform.StoreRecord;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Determines the software version at which a client's stream may be resumed: that of the endpoint
 * that delivered its first event.
 *
 * <p>While a service may have streams of several versions, each VM appends the versions of the
 * streams that begin to a log in the store, several in one call. A VM that has to resume a stream
 * it does not know reads on in this log. While all streams belong to one version, nothing is
 * written, and a VM only makes sure that this is still so. Used on one event loop.
 */
final class StreamVersions {

  /** The topic of the begun streams; its records expire. */
  static final String TOPIC = "stream-versions";

  /** Minimum interval between the appends of one VM. */
  private static final long MIN_APPEND_INTERVAL_MS = 50;

  /** Delay before a failed append is repeated. */
  private static final long APPEND_RETRY_MS = 100;

  /** Time for which a stream that is not stored yet is kept for another append. */
  private static final long MAX_PENDING_MS = 5_000;

  /** Maximum number of streams in one append, well below the size limit of a call. */
  private static final int MAX_BATCH = 2_000;

  /** Longer ids are not stored; their streams cannot be resumed while versions differ. */
  private static final int MAX_ID_BYTES = 128;

  /** Delay before the log is read again for a stream whose record may still be on its way. */
  private static final long LOOKUP_RETRY_MS = 100;

  /** How long a client waits for the version of its stream. */
  private static final long LOOKUP_TIMEOUT_MS = 400;

  private final Vertx vertx;
  private final StoreClient store;
  private final ServiceVersions serviceVersions;
  private final InstantSource clock;
  private final DecisionLog log;
  private final LongSupplier appendIntervalMs;
  private final StreamVersionIndex index = new StreamVersionIndex();
  private final List<StreamVersionIndex.BegunStream> pending = new ArrayList<>();
  private final CoalescedReads reads = new CoalescedReads(this::readPages);
  private Supplier<Future<Void>> endpointRefresh =
      () -> Future.failedFuture("the endpoints are not known");
  private long nextOffset;
  private long lastAppendMs = Long.MIN_VALUE / 2;
  private boolean appendScheduled;

  /**
   * Creates an empty index.
   *
   * @param appendIntervalMs the interval between appends at which all VMs together stay within the
   *     rate limit of the store
   */
  StreamVersions(
      Vertx vertx,
      StoreClient store,
      ServiceVersions serviceVersions,
      InstantSource clock,
      DecisionLog log,
      LongSupplier appendIntervalMs) {
    this.vertx = vertx;
    this.store = store;
    this.serviceVersions = serviceVersions;
    this.clock = clock;
    this.log = log;
    this.appendIntervalMs = appendIntervalMs;
  }

  /** Sets the operation that applies all endpoint entries that the store holds at its call. */
  void setEndpointRefresh(Supplier<Future<Void>> refresh) {
    endpointRefresh = refresh;
  }

  /** Records the version of the endpoint that has delivered the first event of a stream. */
  void recordBegin(String requestId, ServiceVersion version) {
    index.add(requestId, version, clock.millis());
    if (isStorable(requestId) && serviceVersions.onlyVersion(version.service()).isEmpty()) {
      pending.add(new StreamVersionIndex.BegunStream(requestId, version, clock.millis()));
      scheduleAppend(0);
    }
  }

  /** Stores the streams under way of a service that has got a second version. */
  void onVersionAdded(String service) {
    if (serviceVersions.onlyVersion(service).isPresent()) {
      return;
    }
    for (StreamVersionIndex.BegunStream stream :
        index.begunSince(service, clock.millis() - MAX_PENDING_MS)) {
      if (isStorable(stream.requestId())) {
        pending.add(stream);
      }
    }
    scheduleAppend(0);
  }

  /** Returns whether new streams may begin at the endpoint's version without a preference. */
  boolean isSettled(EndpointEntry endpoint, long nowMs) {
    return serviceVersions.isSettled(endpoint, nowMs);
  }

  private static boolean isStorable(String requestId) {
    return requestId.getBytes(StandardCharsets.UTF_8).length <= MAX_ID_BYTES;
  }

  private void scheduleAppend(long minDelayMs) {
    if (appendScheduled || pending.isEmpty()) {
      return;
    }
    appendScheduled = true;
    long intervalMs = Math.max(MIN_APPEND_INTERVAL_MS, appendIntervalMs.getAsLong());
    long delayMs = Math.max(minDelayMs, lastAppendMs + intervalMs - clock.millis());
    if (delayMs <= 0) {
      append();
    } else {
      vertx.setTimer(delayMs, fired -> append());
    }
  }

  private void append() {
    appendScheduled = false;
    lastAppendMs = clock.millis();
    pending.removeIf(stream -> clock.millis() - stream.atMs() >= MAX_PENDING_MS);
    List<StreamVersionIndex.BegunStream> batch =
        List.copyOf(pending.subList(0, Math.min(MAX_BATCH, pending.size())));
    if (batch.isEmpty()) {
      return;
    }
    pending.subList(0, batch.size()).clear();
    List<KeyValue> records = new ArrayList<>();
    batch.forEach(
        stream -> records.add(new KeyValue(stream.requestId(), stream.version().encode())));
    store
        .append(TOPIC, 0, Optional.empty(), records)
        .onSuccess(end -> scheduleAppend(0))
        .onFailure(
            e -> {
              pending.addAll(0, batch);
              scheduleAppend(APPEND_RETRY_MS);
            });
  }

  /**
   * Determines the version at which the client's stream may be resumed; empty if it is not known.
   * Never fails.
   *
   * <p>That this VM knows a single version proves nothing until the endpoints have been read again:
   * other VMs may have begun streams at a version that joined since, also while no call of this VM
   * to the store has failed.
   */
  Future<Optional<String>> find(RequestMetadata metadata, String service) {
    Optional<String> resumed = metadata.resumedRequestId();
    if (resumed.isPresent() && index.contains(resumed.get())) {
      return Future.succeededFuture(
          logged(metadata, new Lookup(index.find(resumed.get(), service), "memory")));
    }
    Promise<Lookup> found = Promise.promise();
    long timer =
        vertx.setTimer(
            LOOKUP_TIMEOUT_MS, fired -> found.tryComplete(new Lookup(Optional.empty(), "timeout")));
    Future<Void> refreshed =
        serviceVersions.onlyVersion(service).isPresent()
            ? endpointRefresh.get()
            : Future.succeededFuture();
    refreshed.onComplete(
        done -> {
          Optional<String> only = serviceVersions.onlyVersion(service);
          if (done.succeeded() && only.isPresent()) {
            found.tryComplete(new Lookup(only, "only_version"));
          } else if (resumed.isEmpty()) {
            found.tryComplete(new Lookup(Optional.empty(), "not_named"));
          } else {
            findInStore(resumed.get(), service, found);
          }
        });
    return found
        .future()
        .onComplete(done -> vertx.cancelTimer(timer))
        .map(lookup -> logged(metadata, lookup));
  }

  /** The version of a stream and where it was found. */
  private record Lookup(Optional<String> version, String source) {}

  private Optional<String> logged(RequestMetadata metadata, Lookup lookup) {
    log.line("stream_resumed")
        .put("request", metadata.requestId())
        .put("resumed_request", metadata.resumedRequestId().orElse(""))
        .put("software_version", lookup.version().orElse(""))
        .put("source", lookup.source())
        .write();
    return lookup.version();
  }

  private void findInStore(String resumedRequestId, String service, Promise<Lookup> found) {
    reads
        .readToEnd()
        .onComplete(
            read -> {
              if (index.contains(resumedRequestId)) {
                found.tryComplete(new Lookup(index.find(resumedRequestId, service), "store"));
              } else if (!found.future().isComplete()) {
                vertx.setTimer(
                    LOOKUP_RETRY_MS,
                    fired ->
                        reads
                            .readToEnd()
                            .onComplete(
                                again ->
                                    found.tryComplete(
                                        new Lookup(
                                            index.find(resumedRequestId, service), "store"))));
              }
            });
  }

  private Future<Void> readPages() {
    return store
        .read(TOPIC, 0, nextOffset, 0)
        .compose(
            page -> {
              page.records().forEach(this::apply);
              boolean isLast = page.nextOffset() <= nextOffset || page.nextOffset() >= page.end();
              nextOffset = Math.max(nextOffset, page.nextOffset());
              return isLast ? Future.succeededFuture() : readPages();
            },
            e -> {
              Optional<Long> first = StoreException.firstOffset(e);
              if (first.isPresent() && first.get() > nextOffset) {
                nextOffset = first.get();
                return readPages();
              }
              return Future.failedFuture(e);
            });
  }

  private void apply(StoreRecord record) {
    try {
      if (record.value().isPresent()) {
        ServiceVersion version = ServiceVersion.decode(record.key(), record.value().get());
        index.add(record.key(), version, clock.millis());
      }
    } catch (MalformedRecordException e) {
      log.line("record_malformed")
          .put("topic", TOPIC)
          .put("problem", String.valueOf(e.getMessage()))
          .write();
    }
  }
}
