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
  record Execution(String key, int attempt, String vm, long sentAtMs, long atMs, Bytes result) {}

  private final VirtualTime time;
  private final ServiceTraits traits;
  private final List<Execution> executions = new ArrayList<>();
  private final Map<String, Long> highestToken = new HashMap<>();

  FakeService(VirtualTime time, ServiceTraits traits) {
    this.time = time;
    this.traits = traits;
  }

  ServiceTraits traits() {
    return traits;
  }

  List<Execution> executions() {
    return executions;
  }

  void call(
      ActionEffect.Send send,
      String vm,
      Consumer<Bytes> onResponse,
      Consumer<SendFailure> onFailure) {
    if (time.chance(0.05)) {
      time.in(2, () -> onFailure.accept(SendFailure.NOT_SENT));
      return;
    }
    if (time.chance(0.05)) {
      time.in(10, () -> onFailure.accept(SendFailure.REFUSED));
      return;
    }
    long sentAtMs = time.nowMs();
    boolean requestLost = time.chance(0.05);
    boolean responseLost = time.chance(0.15);
    long executionInMs = time.chance(0.1) ? time.between(200, 5_000) : time.between(1, 40);
    boolean late = executionInMs >= TIMEOUT_MS - 10;
    if (requestLost || responseLost || late) {
      time.in(TIMEOUT_MS, () -> onFailure.accept(SendFailure.LOST));
    }
    if (requestLost) {
      return;
    }
    time.in(
        executionInMs,
        () -> {
          Bytes result = run(send, vm, sentAtMs);
          if (responseLost || late) {
            return;
          }
          if (result == null) {
            time.in(5, () -> onFailure.accept(SendFailure.STALE_TOKEN));
          } else {
            time.in(5, () -> onResponse.accept(result));
          }
        });
  }

  void status(ActionEffect.QueryStatus query, Consumer<StatusAnswer> onResponse) {
    if (time.chance(0.2)) {
      time.in(100, () -> onResponse.accept(new StatusAnswer.Unclear()));
      return;
    }
    time.in(
        time.between(1, 60),
        () -> {
          highestToken.merge(query.key(), query.fencingToken(), Math::max);
          StatusAnswer answer = answerOf(query.key());
          time.in(5, () -> onResponse.accept(answer));
        });
  }

  private StatusAnswer answerOf(String key) {
    for (Execution execution : executions) {
      if (execution.key().equals(key)) {
        return new StatusAnswer.Ran(execution.result());
      }
    }
    return new StatusAnswer.DidNotRun();
  }

  private Bytes run(ActionEffect.Send send, String vm, long sentAtMs) {
    String key = send.request().key();
    long token = send.fencingToken().orElseThrow();
    if (traits.checksFencingToken() && token < highestToken.getOrDefault(key, -1L)) {
      return null;
    }
    highestToken.merge(key, token, Math::max);
    Bytes result = Bytes.ofUtf8("result-" + executions.size());
    executions.add(
        new Execution(key, send.request().attempt(), vm, sentAtMs, time.nowMs(), result));
    return result;
  }
}
