package io.magnoliaroute.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;

/**
 * An engine with continuous batching: in each step every running sequence gets one token, and a
 * bounded chunk of prompt tokens is computed. It admits sequences in order of arrival and knows no
 * priorities.
 */
final class EngineFake {

  /** Sequences of one batch; the window that the scheduler is told. */
  static final int BATCH_SEQUENCES = 16;

  static final int CHUNK_TOKENS = 256;
  static final long STEP_MICROS = 14_000;
  static final long STEP_MICROS_PER_SEQUENCE = 250;
  static final long STEP_MICROS_PER_PROMPT_TOKEN = 30;
  static final int SLOW_FACTOR = 3;

  private static final long CACHE_TOKENS = 400_000;

  private final EventLoop loop;
  private final EngineListener listener;
  private final LongPredicate slowAtMs;
  private final PrefixCacheFake cache = new PrefixCacheFake(CACHE_TOKENS);
  private final ArrayDeque<EngineSequence> queue = new ArrayDeque<>();
  private final List<EngineSequence> batch = new ArrayList<>();
  private boolean stepping;

  EngineFake(EventLoop loop, EngineListener listener, LongPredicate slowAtMs) {
    this.loop = loop;
    this.listener = listener;
    this.slowAtMs = slowAtMs;
  }

  /** Returns the longest step: a full batch and a full chunk. */
  static long longestStepMicros() {
    return stepMicros(BATCH_SEQUENCES, CHUNK_TOKENS);
  }

  static long stepMicros(int sequences, int chunkTokens) {
    return STEP_MICROS
        + sequences * STEP_MICROS_PER_SEQUENCE
        + chunkTokens * STEP_MICROS_PER_PROMPT_TOKEN;
  }

  void submit(EngineSequence sequence) {
    queue.add(sequence);
    if (!stepping) {
      startStep();
    }
  }

  /** Cancels a sequence; what was computed stays in the cache. */
  void abort(EngineSequence sequence) {
    if (sequence.ended) {
      return;
    }
    sequence.ended = true;
    queue.remove(sequence);
    if (batch.remove(sequence)) {
      keep(sequence);
    }
  }

  private void startStep() {
    admit();
    if (batch.isEmpty()) {
      stepping = false;
      return;
    }
    stepping = true;
    List<EngineSequence> stepped = new ArrayList<>(batch);
    int chunkTokens = 0;
    for (EngineSequence sequence : stepped) {
      int tokens = Math.min(sequence.promptTokensLeft, CHUNK_TOKENS - chunkTokens);
      sequence.promptTokensLeft -= tokens;
      chunkTokens += tokens;
    }
    long micros = stepMicros(stepped.size(), chunkTokens);
    if (slowAtMs.test(loop.nowMs())) {
      micros *= SLOW_FACTOR;
    }
    loop.afterMicros(micros, () -> endStep(stepped));
  }

  private void admit() {
    while (batch.size() < BATCH_SEQUENCES && !queue.isEmpty()) {
      EngineSequence next = queue.poll();
      next.cachedTokens = cache.lookUp(next.program(), next.promptTokens);
      // At least one token is computed, because the first output needs the last prompt token.
      next.promptTokensLeft = Math.max(1, next.promptTokens - next.cachedTokens);
      next.admitted = true;
      batch.add(next);
      listener.admitted(next);
    }
  }

  private void endStep(List<EngineSequence> stepped) {
    long nowMicros = loop.nowMicros();
    List<EngineSequence> advanced = new ArrayList<>();
    for (EngineSequence sequence : stepped) {
      if (sequence.ended || sequence.promptTokensLeft > 0) {
        continue;
      }
      if (sequence.producedTokens == 0) {
        sequence.firstTokenMicros = nowMicros;
      }
      sequence.producedTokens++;
      sequence.lastTokenMicros = nowMicros;
      advanced.add(sequence);
    }
    for (EngineSequence sequence : advanced) {
      if (sequence.producedTokens >= sequence.outputTokens) {
        sequence.ended = true;
        batch.remove(sequence);
        keep(sequence);
      }
    }
    advanced.forEach(this::report);
    startStep();
  }

  private void report(EngineSequence sequence) {
    if (sequence.producedTokens >= sequence.outputTokens) {
      listener.finished(sequence);
    } else if (!sequence.ended) {
      listener.advanced(sequence);
    }
  }

  private void keep(EngineSequence sequence) {
    int computed = sequence.promptTokens - sequence.promptTokensLeft;
    cache.store(sequence.program(), computed + sequence.producedTokens);
  }
}
