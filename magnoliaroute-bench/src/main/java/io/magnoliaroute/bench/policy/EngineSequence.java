package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.schedule.SlotGrant;

/** One call inside an engine. */
final class EngineSequence {

  final CallRun call;
  final SlotGrant grant;
  final int promptTokens;
  final int outputTokens;
  final long sentMicros;

  int cachedTokens;
  int promptTokensLeft;
  int producedTokens;
  long firstTokenMicros;
  long lastTokenMicros;
  long observedMicros;
  boolean admitted;
  boolean ended;

  EngineSequence(
      CallRun call, SlotGrant grant, int promptTokens, int outputTokens, long sentMicros) {
    this.call = call;
    this.grant = grant;
    this.promptTokens = promptTokens;
    this.outputTokens = outputTokens;
    this.sentMicros = sentMicros;
  }

  ProgramId program() {
    return call.id.program();
  }

  long timeToFirstTokenMs() {
    return producedTokens == 0 ? -1 : (firstTokenMicros - sentMicros) / 1_000;
  }

  long streamingMs() {
    return producedTokens == 0 ? 0 : (lastTokenMicros - firstTokenMicros) / 1_000;
  }
}
