package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Bytes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A simulated service that executes every request it receives and records the executions. It does
 * not deduplicate requests by key.
 */
final class FakeService {

  private static final long TIMEOUT_MS = 300;

  /** One execution of a request; the attempt identifies the caller's request for the key. */
  record Execution(
      String key, int attempt, String vm, long sentAtMs, long executedAtMs, Bytes result) {}

  private final VirtualTime time;
  private final ServiceCapabilities capabilities;
  private final List<Execution> executions = new ArrayList<>();
  private final Map<String, Long> highestToken = new HashMap<>();

  FakeService(VirtualTime time, ServiceCapabilities capabilities) {
    this.time = time;
    this.capabilities = capabilities;
  }

  ServiceCapabilities capabilities() {
    return capabilities;
  }

  List<Execution> executions() {
    return executions;
  }

  void call(
      ActionEffect.Send send,
      String vm,
      Consumer<Bytes> onResponse,
      Consumer<SendFailure> onFailure) {
    if (time.randomBoolean(0.05)) {
      time.schedule(2, () -> onFailure.accept(SendFailure.NOT_SENT));
      return;
    }
    if (time.randomBoolean(0.05)) {
      time.schedule(10, () -> onFailure.accept(SendFailure.REFUSED));
      return;
    }
    long sentAtMs = time.nowMs();
    boolean requestLost = time.randomBoolean(0.05);
    boolean responseLost = time.randomBoolean(0.15);
    long executionInMs =
        time.randomBoolean(0.1) ? time.randomBetween(200, 5_000) : time.randomBetween(1, 40);
    boolean late = executionInMs >= TIMEOUT_MS - 10;
    if (requestLost || responseLost || late) {
      time.schedule(TIMEOUT_MS, () -> onFailure.accept(SendFailure.LOST));
    }
    if (requestLost) {
      return;
    }
    time.schedule(
        executionInMs,
        () -> {
          Bytes result = execute(send, vm, sentAtMs);
          if (responseLost || late) {
            return;
          }
          if (result == null) {
            time.schedule(5, () -> onFailure.accept(SendFailure.STALE_TOKEN));
          } else {
            time.schedule(5, () -> onResponse.accept(result));
          }
        });
  }

  void queryStatus(ActionEffect.QueryStatus query, Consumer<StatusResponse> onResponse) {
    if (time.randomBoolean(0.2)) {
      time.schedule(100, () -> onResponse.accept(new StatusResponse.Inconclusive()));
      return;
    }
    time.schedule(
        time.randomBetween(1, 60),
        () -> {
          highestToken.merge(query.key(), query.fencingToken(), Math::max);
          StatusResponse response = statusOf(query.key());
          time.schedule(5, () -> onResponse.accept(response));
        });
  }

  private StatusResponse statusOf(String key) {
    for (Execution execution : executions) {
      if (execution.key().equals(key)) {
        return new StatusResponse.Executed(execution.result());
      }
    }
    return new StatusResponse.NotExecuted();
  }

  private Bytes execute(ActionEffect.Send send, String vm, long sentAtMs) {
    String key = send.request().key();
    long token = send.fencingToken().orElseThrow();
    if (capabilities.checksFencingToken() && token < highestToken.getOrDefault(key, -1L)) {
      return null;
    }
    highestToken.merge(key, token, Math::max);
    Bytes result = Bytes.ofUtf8("result-" + executions.size());
    executions.add(
        new Execution(key, send.request().attempt(), vm, sentAtMs, time.nowMs(), result));
    return result;
  }
}
