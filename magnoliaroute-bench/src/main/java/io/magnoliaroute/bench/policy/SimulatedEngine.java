package io.magnoliaroute.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;

/**
 * Simulates an engine with continuous batching and chunked prefill. Each step computes at most
 * {@link #PREFILL_CHUNK_TOKENS} prompt tokens and generates one token for every sequence of the
 * batch whose prefill is complete. Sequences enter the batch in order of arrival, whatever their
 * priority.
 */
final class SimulatedEngine {

  /** Maximum sequences in a batch; also the window that the scheduler is configured with. */
  static final int MAX_BATCH_SEQUENCES = 16;

  static final int PREFILL_CHUNK_TOKENS = 256;
  static final long BASE_STEP_MICROS = 14_000;
  static final long STEP_MICROS_PER_SEQUENCE = 250;
  static final long STEP_MICROS_PER_PROMPT_TOKEN = 30;
  static final int SLOWDOWN_FACTOR = 3;

  private static final long CACHE_CAPACITY_TOKENS = 400_000;

  private final EventLoop loop;
  private final EngineListener listener;
  private final LongPredicate isSlowAtMs;
  private final SimulatedPrefixCache cache = new SimulatedPrefixCache(CACHE_CAPACITY_TOKENS);
  private final ArrayDeque<EngineSequence> queue = new ArrayDeque<>();
  private final List<EngineSequence> batch = new ArrayList<>();
  private boolean stepInProgress;

  SimulatedEngine(EventLoop loop, EngineListener listener, LongPredicate isSlowAtMs) {
    this.loop = loop;
    this.listener = listener;
    this.isSlowAtMs = isSlowAtMs;
  }

  /** Returns the duration of the longest step, with a full batch and a full prefill chunk. */
  static long longestStepMicros() {
    return stepMicros(MAX_BATCH_SEQUENCES, PREFILL_CHUNK_TOKENS);
  }

  static long stepMicros(int sequences, int prefillTokens) {
    return BASE_STEP_MICROS
        + sequences * STEP_MICROS_PER_SEQUENCE
        + prefillTokens * STEP_MICROS_PER_PROMPT_TOKEN;
  }

  void submit(EngineSequence sequence) {
    queue.add(sequence);
    if (!stepInProgress) {
      startStep();
    }
  }

  /** Cancels a sequence. Tokens that were computed for it stay in the prefix cache. */
  void abort(EngineSequence sequence) {
    if (sequence.ended) {
      return;
    }
    sequence.ended = true;
    queue.remove(sequence);
    if (batch.remove(sequence)) {
      storeInCache(sequence);
    }
  }

  private void startStep() {
    admitQueued();
    if (batch.isEmpty()) {
      stepInProgress = false;
      return;
    }
    stepInProgress = true;
    List<EngineSequence> sequences = new ArrayList<>(batch);
    int prefillTokens = 0;
    for (EngineSequence sequence : sequences) {
      int tokens = Math.min(sequence.promptTokensLeft, PREFILL_CHUNK_TOKENS - prefillTokens);
      sequence.promptTokensLeft -= tokens;
      prefillTokens += tokens;
    }
    long stepMicros = stepMicros(sequences.size(), prefillTokens);
    if (isSlowAtMs.test(loop.nowMs())) {
      stepMicros *= SLOWDOWN_FACTOR;
    }
    loop.scheduleAfterMicros(stepMicros, () -> endStep(sequences));
  }

  private void admitQueued() {
    while (batch.size() < MAX_BATCH_SEQUENCES && !queue.isEmpty()) {
      EngineSequence next = queue.poll();
      next.cachedTokens = cache.cachedTokens(next.program(), next.promptTokens);
      // The last prompt token is always computed, because the first output token depends on it.
      next.promptTokensLeft = Math.max(1, next.promptTokens - next.cachedTokens);
      next.admitted = true;
      batch.add(next);
      listener.onAdmitted(next);
    }
  }

  private void endStep(List<EngineSequence> sequences) {
    long nowMicros = loop.nowMicros();
    List<EngineSequence> advanced = new ArrayList<>();
    for (EngineSequence sequence : sequences) {
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
        storeInCache(sequence);
      }
    }
    advanced.forEach(this::notifyListener);
    startStep();
  }

  private void notifyListener(EngineSequence sequence) {
    if (sequence.producedTokens >= sequence.outputTokens) {
      listener.onFinished(sequence);
    } else if (!sequence.ended) {
      listener.onTokenGenerated(sequence);
    }
  }

  private void storeInCache(EngineSequence sequence) {
    int computedPromptTokens = sequence.promptTokens - sequence.promptTokensLeft;
    cache.store(sequence.program(), computedPromptTokens + sequence.producedTokens);
  }
}
