package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.schedule.SlotGrant;

/** One execution of a call on an engine; hedging and preemption give a call several. */
final class EngineSequence {

  final SimulatedCall call;
  final SlotGrant grant;
  final int promptTokens;
  final int outputTokens;
  final long sentMicros;

  int cachedTokens;
  int promptTokensLeft;
  int producedTokens;
  long firstTokenMicros;
  long lastTokenMicros;
  long lastObservedMicros;
  boolean admitted;
  boolean ended;

  EngineSequence(
      SimulatedCall call, SlotGrant grant, int promptTokens, int outputTokens, long sentMicros) {
    this.call = call;
    this.grant = grant;
    this.promptTokens = promptTokens;
    this.outputTokens = outputTokens;
    this.sentMicros = sentMicros;
  }

  ProgramId program() {
    return call.id.program();
  }

  /** Returns the time from sending to the first token in ms, or -1 before the first token. */
  long timeToFirstTokenMs() {
    return producedTokens == 0 ? -1 : (firstTokenMicros - sentMicros) / 1_000;
  }

  /** Returns the time from the first to the latest token in ms, or 0 before the first token. */
  long streamingMs() {
    return producedTokens == 0 ? 0 : (lastTokenMicros - firstTokenMicros) / 1_000;
  }
}
