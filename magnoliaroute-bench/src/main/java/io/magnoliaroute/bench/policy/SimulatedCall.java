package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.CallId;
import java.util.ArrayList;
import java.util.List;

/** A model call of a simulated program, from its first offer to its completion. */
final class SimulatedCall {

  final CallId id;
  final SimulatedProgram program;
  final int promptTokens;

  /** Prompt tokens that an engine has computed before; with perfect affinity all are cached. */
  final int reusableTokens;

  final int outputTokens;
  final boolean subAgent;
  final Runnable onCompleted;
  final List<EngineSequence> sequences = new ArrayList<>();

  long offeredMicros;

  /** Output tokens of preempted sequences; the next sequence has them in its prompt. */
  int preemptedOutputTokens;

  boolean urgentDemoted;
  boolean everAdmitted;
  boolean completed;

  SimulatedCall(
      CallId id,
      SimulatedProgram program,
      int promptTokens,
      int reusableTokens,
      TurnSpec turn,
      Runnable onCompleted) {
    this.id = id;
    this.program = program;
    this.promptTokens = promptTokens;
    this.reusableTokens = reusableTokens;
    this.subAgent = !id.program().equals(program.spec.id());
    this.outputTokens = subAgent ? TurnSpec.SUB_AGENT_OUTPUT_TOKENS : turn.outputTokens();
    this.onCompleted = onCompleted;
  }
}
