package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.CallId;
import java.util.ArrayList;
import java.util.List;

/** One call of a running program. */
final class CallRun {

  final CallId id;
  final ProgramRun program;
  final int promptTokens;

  /** Prompt tokens that were computed before, which perfect affinity would find in a cache. */
  final int reusableTokens;

  final int outputTokens;
  final boolean subAgent;
  final Runnable whenDone;
  final List<EngineSequence> sequences = new ArrayList<>();

  long offeredMicros;
  int producedBefore;
  boolean urgentDemoted;
  boolean admittedOnce;
  boolean done;

  CallRun(
      CallId id,
      ProgramRun program,
      int promptTokens,
      int reusableTokens,
      TurnPlan turn,
      Runnable whenDone) {
    this.id = id;
    this.program = program;
    this.promptTokens = promptTokens;
    this.reusableTokens = reusableTokens;
    this.subAgent = !id.program().equals(program.plan.id());
    this.outputTokens = subAgent ? TurnPlan.SUB_AGENT_OUTPUT_TOKENS : turn.outputTokens();
    this.whenDone = whenDone;
  }
}
