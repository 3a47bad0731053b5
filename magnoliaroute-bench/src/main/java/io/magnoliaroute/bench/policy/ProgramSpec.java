package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.schedule.ServiceUnits;
import java.util.List;

/**
 * Specifies a program of a workload in full. Only the clairvoyant policy may use it for scheduling.
 *
 * @param id the program
 * @param team its team
 * @param priority its priority class
 * @param dataCentre the data centre of its caller
 * @param arrivalMs when its caller sends the first request
 * @param timeoutMs how long its caller waits for the last turn, from the arrival on
 * @param isShort whether it counts as a short program
 * @param turns its turns in order
 */
record ProgramSpec(
    ProgramId id,
    TeamSpec team,
    PriorityClass priority,
    DataCentreId dataCentre,
    long arrivalMs,
    long timeoutMs,
    boolean isShort,
    List<TurnSpec> turns) {

  /** Returns the service units of the given turn and all later ones. */
  long remainingServiceUnits(int fromTurn) {
    long units = 0;
    for (TurnSpec turn : turns.subList(fromTurn, turns.size())) {
      units += ServiceUnits.of(turn.newPromptTokens(), turn.outputTokens());
      units += (long) turn.subAgents() * TurnSpec.SUB_AGENT_OUTPUT_TOKENS;
    }
    return units;
  }

  /** Returns the engine time of the program in full batches with perfect cache affinity. */
  double engineTimeMs() {
    double micros = 0;
    double tokenMicros =
        (double) SimulatedEngine.stepMicros(SimulatedEngine.MAX_BATCH_SEQUENCES, 0)
            / SimulatedEngine.MAX_BATCH_SEQUENCES;
    for (TurnSpec turn : turns) {
      int subAgents = turn.subAgents();
      int output = turn.outputTokens() + subAgents * TurnSpec.SUB_AGENT_OUTPUT_TOKENS;
      int prompt = turn.newPromptTokens() + subAgents * TurnSpec.SUB_AGENT_PROMPT_TOKENS;
      micros += output * tokenMicros + prompt * SimulatedEngine.STEP_MICROS_PER_PROMPT_TOKEN;
    }
    return micros / 1_000;
  }

  /** Returns the latency of the program on an idle group. */
  double unloadedLatencyMs() {
    double ms = 0;
    for (TurnSpec turn : turns) {
      ms += turn.pauseMs() + unloadedCallLatencyMs(turn.newPromptTokens(), turn.outputTokens());
      if (turn.subAgents() > 0) {
        ms +=
            unloadedCallLatencyMs(
                TurnSpec.SUB_AGENT_PROMPT_TOKENS, TurnSpec.SUB_AGENT_OUTPUT_TOKENS);
      }
    }
    return ms;
  }

  private static double unloadedCallLatencyMs(int promptTokens, int outputTokens) {
    int promptSteps =
        (promptTokens + SimulatedEngine.PREFILL_CHUNK_TOKENS - 1)
            / SimulatedEngine.PREFILL_CHUNK_TOKENS;
    long promptMicros =
        promptSteps * SimulatedEngine.stepMicros(1, 0)
            + promptTokens * SimulatedEngine.STEP_MICROS_PER_PROMPT_TOKEN;
    long outputMicros = (outputTokens - 1) * SimulatedEngine.stepMicros(1, 0);
    return (promptMicros + outputMicros) / 1_000.0;
  }
}
