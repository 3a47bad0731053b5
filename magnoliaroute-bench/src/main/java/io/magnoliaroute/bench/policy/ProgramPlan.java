package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.schedule.ServiceUnits;
import java.util.List;

/**
 * A program as its caller will run it, which no policy but the clairvoyant one may look at.
 *
 * @param id the program
 * @param team its team
 * @param priority its class
 * @param dataCentre where it enters
 * @param arrivalMs when its caller first asks
 * @param patienceMs how long its caller waits
 * @param isShort whether it counts as short work
 * @param turns its turns
 */
record ProgramPlan(
    ProgramId id,
    TeamPlan team,
    PriorityClass priority,
    DataCentreId dataCentre,
    long arrivalMs,
    long patienceMs,
    boolean isShort,
    List<TurnPlan> turns) {

  /** Returns the service left from the given turn on. */
  long remainingUnits(int fromTurn) {
    long units = 0;
    for (TurnPlan turn : turns.subList(fromTurn, turns.size())) {
      units += ServiceUnits.of(turn.newPromptTokens(), turn.outputTokens());
      units += (long) turn.subAgents() * TurnPlan.SUB_AGENT_OUTPUT_TOKENS;
    }
    return units;
  }

  /** Returns the engine time that the program takes in full batches with perfect affinity. */
  double engineMs() {
    double micros = 0;
    double tokenMicros =
        (double) EngineFake.stepMicros(EngineFake.BATCH_SEQUENCES, 0) / EngineFake.BATCH_SEQUENCES;
    for (TurnPlan turn : turns) {
      int subAgents = turn.subAgents();
      int output = turn.outputTokens() + subAgents * TurnPlan.SUB_AGENT_OUTPUT_TOKENS;
      int prompt = turn.newPromptTokens() + subAgents * TurnPlan.SUB_AGENT_PROMPT_TOKENS;
      micros += output * tokenMicros + prompt * EngineFake.STEP_MICROS_PER_PROMPT_TOKEN;
    }
    return micros / 1_000;
  }

  /** Returns the latency of the program on an idle group. */
  double aloneMs() {
    double ms = 0;
    for (TurnPlan turn : turns) {
      ms += turn.pauseMs() + callAloneMs(turn.newPromptTokens(), turn.outputTokens());
      if (turn.subAgents() > 0) {
        ms += callAloneMs(TurnPlan.SUB_AGENT_PROMPT_TOKENS, TurnPlan.SUB_AGENT_OUTPUT_TOKENS);
      }
    }
    return ms;
  }

  private static double callAloneMs(int promptTokens, int outputTokens) {
    int promptSteps = (promptTokens + EngineFake.CHUNK_TOKENS - 1) / EngineFake.CHUNK_TOKENS;
    long promptMicros =
        promptSteps * EngineFake.stepMicros(1, 0)
            + promptTokens * EngineFake.STEP_MICROS_PER_PROMPT_TOKEN;
    long outputMicros = (outputTokens - 1) * EngineFake.stepMicros(1, 0);
    return (promptMicros + outputMicros) / 1_000.0;
  }
}
