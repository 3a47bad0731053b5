package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Bytes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A service that runs whatever reaches it and keeps what it ran; it never joins equal keys. */
final class FakeService {

  private static final long TIMEOUT_MS = 300;

  /** One execution; the attempt says which of the caller's requests it ran for. */
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
      ActionEffect.Send send, String vm, Consumer<Bytes> answered, Consumer<SendFailure> failed) {
    if (time.chance(0.05)) {
      time.in(2, () -> failed.accept(SendFailure.NOT_SENT));
      return;
    }
    if (time.chance(0.05)) {
      time.in(10, () -> failed.accept(SendFailure.REFUSED));
      return;
    }
    long sentAtMs = time.nowMs();
    boolean requestLost = time.chance(0.05);
    boolean answerLost = time.chance(0.15);
    long runsInMs = time.chance(0.1) ? time.between(200, 5_000) : time.between(1, 40);
    boolean late = runsInMs >= TIMEOUT_MS - 10;
    if (requestLost || answerLost || late) {
      time.in(TIMEOUT_MS, () -> failed.accept(SendFailure.LOST));
    }
    if (requestLost) {
      return;
    }
    time.in(
        runsInMs,
        () -> {
          Bytes result = run(send, vm, sentAtMs);
          if (answerLost || late) {
            return;
          }
          if (result == null) {
            time.in(5, () -> failed.accept(SendFailure.STALE_TOKEN));
          } else {
            time.in(5, () -> answered.accept(result));
          }
        });
  }

  void status(ActionEffect.QueryStatus query, Consumer<StatusAnswer> answered) {
    if (time.chance(0.2)) {
      time.in(100, () -> answered.accept(new StatusAnswer.Unclear()));
      return;
    }
    time.in(
        time.between(1, 60),
        () -> {
          highestToken.merge(query.key(), query.fencingToken(), Math::max);
          StatusAnswer answer = answerOf(query.key());
          time.in(5, () -> answered.accept(answer));
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
